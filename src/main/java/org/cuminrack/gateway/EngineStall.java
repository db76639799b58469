package org.cuminrack.gateway;

import java.time.Duration;

/**
 * When an engine that brings no event counts as lost. One that still announces itself may only have
 * preempted the generation; it goes on working for a while even when its connection is closed, so
 * another engine must not go on meanwhile.
 */
final class EngineStall {
  /** Announcements come every 1.2 s and reach gateways within another second. */
  static final Duration SILENT_ENGINE = Duration.ofMillis(2600);

  private static final Duration LONGEST_GAP = Duration.ofMillis(1200);

  private EngineStall() {}

  /** Tells whether an engine is lost that has brought nothing for so long. */
  static boolean isLost(Duration quiet, boolean engineIsSilent) {
    return engineIsSilent && quiet.compareTo(LONGEST_GAP) > 0;
  }
}
