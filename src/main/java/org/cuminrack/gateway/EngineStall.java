package org.cuminrack.gateway;

import java.time.Duration;

/**
 * When an engine that brings no event counts as lost. One that still announces itself may only have
 * preempted the generation, and must not run it beside another engine.
 */
final class EngineStall {
  /** Announcements come every 1.2 s and reach gateways within another second. */
  static final Duration SILENT_ENGINE = Duration.ofMillis(2600);

  private static final Duration OF_A_SILENT_ENGINE = Duration.ofMillis(1200);

  /** Callers give a stream up after a gap of some seven seconds. */
  private static final Duration OF_ANY_ENGINE = Duration.ofSeconds(5);

  private EngineStall() {}

  /** Tells whether an engine is lost that has brought nothing for so long. */
  static boolean isLost(Duration quiet, boolean engineIsSilent) {
    return quiet.compareTo(engineIsSilent ? OF_A_SILENT_ENGINE : OF_ANY_ENGINE) > 0;
  }
}
