package org.cuminrack.standin;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.cuminrack.admission.Priority;
import org.junit.jupiter.api.Test;

class EngineModelTest {
  private static final EngineProfile PROFILE = EngineProfile.standard();
  private static final long STEP_TARGET_NANOS = 41_000_000;
  private static final long FIRST_TOKEN_TARGET_NANOS = 1_500_000_000;

  @Test
  void shouldProduceEveryTokenOnceInOrderAndThenEnd() {
    EngineModel model = EngineModel.warm(PROFILE);

    model.submit(request("g", 40, 3));

    assertThat(runToCompletion(model))
        .containsExactly(token("g", 0), token("g", 1), token("g", 2), end("g", 3))
        .inOrder();
  }

  @Test
  void shouldMeetLatencyTargetsUpToTheWarmLimit() {
    EngineModel model = EngineModel.warm(PROFILE.withMemoryTokens(1 << 20));
    for (int i = 0; i < PROFILE.warmLimit() - 1; i++) {
      model.submit(request("g" + i, 200, 2_000));
    }
    for (int i = 0; i < 200; i++) {
      runStep(model);
    }

    model.submit(request("late", 1_000, 10));

    long timeToFirstTokenNanos = 0;
    List<EngineEvent> events = List.of();
    while (!events.contains(token("late", 0))) {
      long nanos = model.beginStep().getAsLong();
      assertThat(nanos).isAtMost(STEP_TARGET_NANOS);
      timeToFirstTokenNanos += nanos;
      events = model.endStep();
    }
    assertThat(timeToFirstTokenNanos).isLessThan(FIRST_TOKEN_TARGET_NANOS);
  }

  @Test
  void shouldPreemptTheYoungestGenerationWhenMemoryIsFullAndStillCompleteAll() {
    EngineModel model = EngineModel.warm(PROFILE.withMemoryTokens(1_024));
    model.submit(request("old", 300, 300));
    model.submit(request("young", 300, 300));

    List<EngineEvent> events = runToCompletion(model);

    assertThat(model.load().preemptions()).isAtLeast(1L);
    assertThat(events.indexOf(end("old", 300))).isLessThan(events.indexOf(end("young", 300)));
    assertThat(tokensOf("young", events)).isInStrictOrder();
    assertThat(tokensOf("young", events)).hasSize(300);
    assertThat(model.load().usedTokens()).isEqualTo(0);
  }

  @Test
  void shouldPreemptStandardBeforeInteractive() {
    EngineModel model = EngineModel.warm(PROFILE.withMemoryTokens(1_024));
    model.submit(request("standard", 300, 300));
    runStep(model);
    model.submit(generation("interactive", 300, 300, List.of(), Priority.INTERACTIVE));

    List<EngineEvent> events = runToCompletion(model);

    assertThat(events.indexOf(end("interactive", 300)))
        .isLessThan(events.indexOf(end("standard", 300)));
  }

  @Test
  void shouldShortenTheTimeToFirstTokenWhenThePrefixIsCached() {
    EngineModel model = EngineModel.warm(PROFILE);
    List<Long> hashes = List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L, 10L);
    model.submit(generation("first", 160, 1, hashes, Priority.STANDARD));
    long uncachedNanos = runStep(model);

    model.submit(generation("second", 160, 1, hashes, Priority.STANDARD));

    assertThat(runStep(model)).isLessThan(uncachedNanos);
    assertThat(model.drainCacheChange().stored()).containsExactlyElementsIn(hashes).inOrder();
  }

  @Test
  void shouldEvictTheLeastRecentlyUsedBlocksForNewOnes() {
    EngineModel model = EngineModel.warm(PROFILE.withMemoryTokens(320));
    model.submit(generation("a", 64, 1, List.of(1L, 2L, 3L, 4L), Priority.STANDARD));
    runToCompletion(model);
    model.submit(generation("b", 64, 1, List.of(5L, 6L, 7L, 8L), Priority.STANDARD));
    runToCompletion(model);
    model.drainCacheChange();

    model.submit(request("c", 240, 1));
    runToCompletion(model);

    assertThat(model.drainCacheChange().removed()).containsExactly(1L, 2L, 3L, 4L).inOrder();
  }

  @Test
  void shouldFailAboveTheColdLimitWhileCold() {
    EngineModel model = EngineModel.cold(PROFILE);
    for (int i = 0; i < PROFILE.coldLimit(); i++) {
      assertThat(model.submit(request("g" + i, 10, 10)))
          .isEqualTo(EngineModel.SubmitResult.ACCEPTED);
    }

    EngineModel.SubmitResult result = model.submit(request("more", 10, 10));

    assertThat(result).isEqualTo(EngineModel.SubmitResult.OVERLOADED);
    assertThat(model.beginStep()).isEqualTo(OptionalLong.empty());
  }

  @Test
  void shouldBeSlowWhileColdAndWarmUpByCompletions() {
    EngineModel model = EngineModel.cold(PROFILE);
    long firstNanos = runSingleTokenGeneration(model, "first");

    for (int i = 0; i < PROFILE.warmUpCompletions(); i++) {
      runSingleTokenGeneration(model, "g" + i);
    }

    assertThat(model.concurrencyLimit()).isEqualTo(PROFILE.warmLimit());
    double warmNanos = runSingleTokenGeneration(model, "last");
    assertThat(firstNanos / warmNanos).isWithin(0.001).of(PROFILE.coldSlowFactor());
  }

  @Test
  void shouldReturnToTheColdLimitWhenMadeCold() {
    EngineModel model = EngineModel.warm(PROFILE);

    model.makeCold();

    assertThat(model.concurrencyLimit()).isEqualTo(PROFILE.coldLimit());
    assertThat(model.warmth()).isEqualTo(0.0);
  }

  @Test
  void shouldCountOnlyNewGenerationsAgainstTheColdLimitAfterBeingMadeCold() {
    EngineModel model = EngineModel.warm(PROFILE);
    for (int i = 0; i < PROFILE.warmLimit(); i++) {
      model.submit(request("g" + i, 10, 100));
    }

    model.makeCold();

    for (int i = 0; i < PROFILE.coldLimit(); i++) {
      assertThat(model.submit(request("n" + i, 10, 10)))
          .isEqualTo(EngineModel.SubmitResult.ACCEPTED);
    }
    assertThat(model.submit(request("n", 10, 10))).isEqualTo(EngineModel.SubmitResult.OVERLOADED);
  }

  @Test
  void shouldFreeTheMemoryOfACancelledGeneration() {
    EngineModel model = EngineModel.warm(PROFILE);
    model.submit(request("g", 100, 100));
    runStep(model);

    assertThat(model.cancel("g")).isTrue();

    assertThat(model.load()).isEqualTo(new EngineLoad(0, 0, 0, 0));
    assertThat(model.cancel("g")).isFalse();
  }

  @Test
  void shouldRefuseAGenerationThatCanNeverFitInMemory() {
    EngineModel model = EngineModel.warm(PROFILE.withMemoryTokens(1_024));

    assertThat(model.submit(request("g", 1_000, 100))).isEqualTo(EngineModel.SubmitResult.NO_ROOM);
  }

  /** Runs a generation of one token alone and returns the duration of its step in nanoseconds. */
  private static long runSingleTokenGeneration(EngineModel model, String id) {
    model.submit(request(id, 10, 1));
    return runStep(model);
  }

  /** Runs a step and returns its duration in nanoseconds. */
  private static long runStep(EngineModel model) {
    long nanos = model.beginStep().orElseThrow();
    model.endStep();
    return nanos;
  }

  private static List<EngineEvent> runToCompletion(EngineModel model) {
    List<EngineEvent> events = new ArrayList<>();
    while (model.beginStep().isPresent()) {
      events.addAll(model.endStep());
    }
    return events;
  }

  private static List<Integer> tokensOf(String id, List<EngineEvent> events) {
    return events.stream()
        .filter(each -> each.generationId().equals(id))
        .filter(each -> each.kind() == EngineEvent.Kind.TOKEN)
        .map(EngineEvent::index)
        .toList();
  }

  private static GenerationRequest request(String id, int promptTokens, int outputTokens) {
    return generation(id, promptTokens, outputTokens, List.of(), Priority.STANDARD);
  }

  private static GenerationRequest generation(
      String id, int promptTokens, int outputTokens, List<Long> hashes, Priority priority) {
    return new GenerationRequest(id, promptTokens, hashes, outputTokens, false, priority);
  }

  private static EngineEvent token(String id, int index) {
    return new EngineEvent(id, index, EngineEvent.Kind.TOKEN);
  }

  private static EngineEvent end(String id, int index) {
    return new EngineEvent(id, index, EngineEvent.Kind.STOP);
  }
}
