package org.cuminrack.standin;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class LaggingReportsTest {
  private static final Duration LAG = Duration.ofMillis(300);

  @Test
  void shouldReportTheNewestLoadThatIsOldEnough() {
    LaggingLoad lagging = new LaggingLoad(LAG);

    assertThat(lagging.sample(0, load(1)).running()).isEqualTo(1);
    assertThat(lagging.sample(millis(200), load(2)).running()).isEqualTo(1);
    assertThat(lagging.sample(millis(400), load(3)).running()).isEqualTo(1);
    assertThat(lagging.sample(millis(600), load(4)).running()).isEqualTo(2);
    assertThat(lagging.sample(millis(700), load(5)).running()).isEqualTo(3);
  }

  @Test
  void shouldDelayCacheEventsInOrder() {
    LaggingCacheEvents lagging = new LaggingCacheEvents(LAG, 0, 1);
    lagging.add(0, stored(1));
    lagging.add(millis(100), stored(2));

    assertThat(lagging.poll(millis(299))).isEmpty();
    assertThat(lagging.poll(millis(300)).get().change()).isEqualTo(stored(1));
    assertThat(lagging.poll(millis(300))).isEmpty();
    assertThat(lagging.poll(millis(400)).get().sequence()).isEqualTo(2);
  }

  @Test
  void shouldDropAboutTheGivenShareOfBatches() {
    LaggingCacheEvents lagging = new LaggingCacheEvents(Duration.ZERO, 50, 1);
    for (int i = 0; i < 100; i++) {
      lagging.add(0, stored(i));
    }

    int sent = 0;
    while (lagging.poll(0).isPresent()) {
      sent++;
    }

    assertThat(sent).isAtLeast(30);
    assertThat(sent).isAtMost(70);
  }

  private static CacheChange stored(long hash) {
    return new CacheChange(List.of(hash), List.of());
  }

  private static EngineLoad load(int running) {
    return new EngineLoad(running, 0, 0, 0);
  }

  private static long millis(long millis) {
    return Duration.ofMillis(millis).toNanos();
  }
}
