package org.cuminrack.load;

import java.time.Duration;

/**
 * A period in which one organisation sends more than its usual share.
 *
 * @param factor multiple of its usual share that it sends
 * @param start when the surge starts, counted from the start of the plan
 * @param duration how long the surge lasts
 */
public record Surge(String organisation, int factor, Duration start, Duration duration) {}
