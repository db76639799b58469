package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Long prompts of a longer target hold up short ones in the order of arrival, not in the order of
 * the times at which the targets end.
 */
class MixedPromptsTest {
  @Test
  void shouldServeBothKindsInTimeWithRoomForAll() {
    for (double longShare : new double[] {0.1, 0.5}) {
      PlayedEngines engines = played(true, longShare, 0.6);

      assertThat(engines.inTimeShare(false)).isGreaterThan(0.99);
      assertThat(engines.inTimeShare(true)).isGreaterThan(0.99);
    }
  }

  @Test
  void shouldServeShortPromptsInTimeBesideLongOnesIfTheEnginesAreFull() {
    PlayedEngines before = played(false, 0.3, 1.0);
    PlayedEngines after = played(true, 0.3, 1.0);

    assertThat(before.inTimeShare(false)).isLessThan(0.95);
    assertThat(after.inTimeShare(false)).isGreaterThan(0.99);
    assertThat(after.inTimeShare(true)).isGreaterThan(0.99);
  }

  @Test
  void shouldServeMorePromptsInTimeUnderOverload() {
    PlayedEngines before = played(false, 0.5, 1.3);
    PlayedEngines after = played(true, 0.5, 1.3);

    assertThat(after.inTimeShare(false)).isGreaterThan(before.inTimeShare(false) + 0.5);
    assertThat(after.inTimeShare(true)).isGreaterThan(before.inTimeShare(true) - 0.1);
  }

  private static PlayedEngines played(boolean byDueTime, double longShare, double load) {
    PlayedEngines engines = new PlayedEngines(byDueTime, longShare, load);
    engines.play();
    return engines;
  }
}
