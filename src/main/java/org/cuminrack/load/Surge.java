package org.cuminrack.load;

import java.time.Duration;

/**
 * A time in which one organisation sends more than its share.
 *
 * @param factor how many times its share it sends
 * @param from when it begins, from the start of the plan
 * @param length how long it lasts
 */
public record Surge(String organisation, int factor, Duration from, Duration length) {}
