package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.pace.Pace;
import org.cuminrack.pace.PaceTable;
import org.cuminrack.pace.StatedLoad;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class UpstreamPacesTest {
  private static final UpstreamRecord FAST = upstream("fast");
  private static final UpstreamRecord SLOW = upstream("slow");

  private final ManualClock clock = new ManualClock();
  private final PaceTable table = new PaceTable(clock);
  private final UpstreamPaces paces = new UpstreamPaces(table);

  @Test
  void shouldCountPacesOnlyOfServicesThatStateThem() {
    learnPlain(0);
    assertThat(paces.pace(SLOW)).isEqualTo(Pace.USUAL);

    paces.recordAnswer(FAST, stating(Either.right(Optional.of(load(1)))));

    assertThat(paces.pace(SLOW).slowdown()).isGreaterThan(1.5);
  }

  @Test
  void shouldNotTakeAQueueForASlowUpstream() {
    paces.recordAnswer(FAST, stating(Either.right(Optional.of(load(1)))));
    for (int i = 0; i < 30; i++) {
      clock.advance(Duration.ofMillis(50));
      paces.recordPlain(FAST, "orders", 0, Duration.ofMillis(20));
      // Twelve requests are ahead on six slots, the last of them on its slot.
      paces.recordPlain(SLOW, "orders", 17, Duration.ofMillis(60));
    }

    assertThat(paces.pace(SLOW).slowdown()).isWithin(0.02).of(1);
  }

  @Test
  void shouldIgnoreInvalidLoadsAndLogThemOncePerUpstream() {
    List<String> lines = new ArrayList<>();
    Logger logger = Logger.getLogger(UpstreamPaces.class.getName());
    Handler handler = collecting(lines);
    logger.addHandler(handler);
    try {
      for (int i = 0; i < 5; i++) {
        paces.recordAnswer(FAST, stating(Either.left("found '-" + i + "'")));
        paces.recordAnswer(SLOW, stating(Either.left("found 'NaN'")));
      }
    } finally {
      logger.removeHandler(handler);
    }

    assertThat(lines)
        .containsExactly(
            "event=upstream-load-invalid upstream=fast detail=\"found '-0'\"",
            "event=upstream-load-invalid upstream=slow detail=\"found 'NaN'\"");
    assertThat(table.isStatedBy("shop")).isFalse();
  }

  @Test
  void shouldIgnoreWhatAnswersOfOtherUpstreamsState() {
    paces.recordAnswer(FAST, head(false, Either.right(Optional.of(load(1)))));

    assertThat(table.isStatedBy("shop")).isFalse();
  }

  @Test
  void shouldTimeThePrefillAndTheGapsOfAStream() {
    paces.recordAnswer(FAST, stating(Either.right(Optional.of(load(1)))));
    for (int i = 0; i < 10; i++) {
      playStream(FAST, 300, 40);
      playStream(SLOW, 600, 80);
    }

    assertThat(paces.pace(SLOW).slowdown() / paces.pace(FAST).slowdown()).isWithin(0.4).of(2);
    assertThat(paces.usualGapMillis("shop").getAsDouble()).isWithin(8).of(56);
  }

  private void playStream(UpstreamRecord upstream, long firstMillis, long gapMillis) {
    StreamTimings timings = new StreamTimings(paces, clock, upstream, 3_000);
    timings.requestSent();
    clock.advance(Duration.ofMillis(firstMillis));
    timings.eventReceived();
    for (int i = 0; i < 8; i++) {
      clock.advance(Duration.ofMillis(gapMillis));
      timings.eventReceived();
    }
    timings.readingPaused();
    clock.advance(Duration.ofSeconds(1));
    timings.eventReceived();
  }

  private void learnPlain(int requestsBefore) {
    for (int i = 0; i < 30; i++) {
      clock.advance(Duration.ofMillis(50));
      paces.recordPlain(FAST, "orders", requestsBefore, Duration.ofMillis(20));
      paces.recordPlain(SLOW, "orders", requestsBefore, Duration.ofMillis(60));
    }
  }

  private static Handler collecting(List<String> lines) {
    return new Handler() {
      @Override
      public void publish(LogRecord line) {
        lines.add(line.getMessage());
      }

      @Override
      public void flush() {}

      @Override
      public void close() {}
    };
  }

  private static StatedLoad load(double slowdown) {
    return new StatedLoad(1, 0, 6, OptionalDouble.of(slowdown));
  }

  private static ResponseHead stating(Either<String, Optional<StatedLoad>> load) {
    return head(true, load);
  }

  private static ResponseHead head(
      boolean matchesRequest, Either<String, Optional<StatedLoad>> load) {
    return new ResponseHead(
        matchesRequest,
        false,
        false,
        Either.right(OptionalDouble.empty()),
        false,
        Either.right(Optional.empty()),
        load);
  }

  private static UpstreamRecord upstream(String id) {
    return new UpstreamRecord(
        id, "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, 1, 1, 0, 0);
  }
}
