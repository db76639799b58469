package org.cuminrack.fleet;

/**
 * A process of an upstream that has crashed.
 *
 * @param upstream the upstream's name
 * @param bootId identifies the process; changes with each start of the upstream
 */
public record CrashedProcess(String upstream, String bootId) {}
