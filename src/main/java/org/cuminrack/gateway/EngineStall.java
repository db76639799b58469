package org.cuminrack.gateway;

import java.time.Duration;

/**
 * Decides when an engine that sends no event counts as lost. An engine that still announces itself
 * does not: it may only have preempted the generation, and it would keep running the generation for
 * a while even after the connection is closed, so the generation must not resume on another engine.
 */
final class EngineStall {
  /**
   * Time without an announcement after which an engine counts as silent. Engines announce
   * themselves every 1.2 s, and announcements reach gateways within another second.
   */
  static final Duration SILENCE_THRESHOLD = Duration.ofMillis(2600);

  private static final Duration MAX_EVENT_GAP = Duration.ofMillis(1200);

  private EngineStall() {}

  /** Returns whether an engine that has sent no event for this long counts as lost. */
  static boolean isLost(Duration sinceLastEvent, boolean engineIsSilent) {
    return engineIsSilent && sinceLastEvent.compareTo(MAX_EVENT_GAP) > 0;
  }
}
