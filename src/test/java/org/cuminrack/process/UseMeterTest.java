package org.cuminrack.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.cuminrack.fleet.GatewaySize;
import org.junit.jupiter.api.Test;

class UseMeterTest {
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final GatewaySize SIZE = new GatewaySize(0.5, 8, 266, 2000);

  private final UseMeter meter = new UseMeter(SIZE);

  @Test
  void shouldSayNothingBeforeSecondSample() {
    meter.add(new UseSample(0, SECOND_NANOS, 1_000_000, 1000, 0.5));

    assertThat(meter.use().isPresent()).isFalse();
  }

  @Test
  void shouldNameProcessorIfItIsUsedMost() {
    meter.add(new UseSample(0, 0, 0, 100, 0.1));
    meter.add(new UseSample(SECOND_NANOS, SECOND_NANOS / 4, 100_000, 100, 0.1));

    assertThat(meter.use().getAsDouble()).isWithin(1e-9).of(0.5);
  }

  @Test
  void shouldNameLinkIfItIsUsedMost() {
    meter.add(new UseSample(0, 0, 0, 100, 0.1));
    meter.add(new UseSample(SECOND_NANOS, SECOND_NANOS / 10, 750_000, 100, 0.1));

    assertThat(meter.use().getAsDouble()).isWithin(1e-9).of(0.75);
  }

  @Test
  void shouldNameDescriptorsOrMemoryIfTheyAreUsedMost() {
    meter.add(new UseSample(0, 0, 0, 1000, 0.1));
    meter.add(new UseSample(SECOND_NANOS, 0, 0, 1000, 0.1));
    assertThat(meter.use().getAsDouble()).isWithin(1e-9).of(0.5);

    meter.add(new UseSample(2 * SECOND_NANOS, 0, 0, 1000, 0.9));
    assertThat(meter.use().getAsDouble()).isWithin(1e-9).of(0.7);
  }

  @Test
  void shouldIgnoreLimitsThatAreNotStated() {
    UseMeter unlimited = new UseMeter(new GatewaySize(0, 8, 0, 0));
    unlimited.add(new UseSample(0, 0, 0, 1000, 0));
    unlimited.add(new UseSample(SECOND_NANOS, SECOND_NANOS, 100_000, 1000, 0));

    assertThat(unlimited.use().getAsDouble()).isWithin(1e-9).of(0.1);
  }
}
