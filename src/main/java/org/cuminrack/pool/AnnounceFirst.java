package org.cuminrack.pool;

/**
 * An upstream's announcement is needed (again) before its reports are taken.
 *
 * @param reason why, for logs
 */
public record AnnounceFirst(String reason) {}
