package org.cuminrack.pool;

/**
 * An upstream must announce itself (again) before its reports are accepted.
 *
 * @param reason why, for the error response to the upstream
 */
public record AnnouncementRequired(String reason) {}
