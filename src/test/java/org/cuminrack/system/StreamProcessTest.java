package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Streams in progress while processes are killed or stopped. */
@Tag("process")
class StreamProcessTest {
  private static final int STREAM_COUNT = 100;
  private static final int TOKEN_COUNT = 60;
  private static final Duration RUNNING_TIMEOUT = Duration.ofSeconds(30);

  @TempDir Path folder;

  private final CallerClient callerClient = new CallerClient();
  private final ExecutorService pool = Executors.newFixedThreadPool(STREAM_COUNT);

  @AfterEach
  void stopCallers() {
    pool.shutdownNow();
  }

  @Test
  void shouldResumeAtAnotherEntryAfterAnEntryIsKilled() throws Exception {
    try (TestCluster cluster = cluster("--warm");
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.samplePlan().objects());
      callerClient.awaitServing(cluster);
      String killedEntry = cluster.entryAddresses().get(0);
      String otherEntry = cluster.entryAddresses().get(1);
      List<Future<GenerationResponse>> streams = startStreams(cluster, killedEntry);
      awaitStreamsRunning(cluster, killedEntry);

      cluster.process("entry-1").kill();

      int resumedCount = 0;
      for (int i = 0; i < STREAM_COUNT; i++) {
        GenerationResponse response = streams.get(i).get();
        if (!response.isComplete()) {
          response = resume(cluster, otherEntry, i, response);
          resumedCount++;
        }
        GenerationChecks.assertComplete(prompt(i), response);
      }
      assertThat(resumedCount).isGreaterThan(0);
    }
  }

  @Test
  void shouldNeverSpliceTwoGenerationsAfterAnEngineIsKilled() throws Exception {
    try (TestCluster cluster = cluster("--warm", "--distinct-per-boot");
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.samplePlan().objects());
      callerClient.awaitServing(cluster);
      List<String> bootIds = new ArrayList<>();
      for (String each : List.of("engine-1", "engine-2", "engine-3")) {
        bootIds.add(cluster.process(each).awaitStarted("boot_id"));
      }
      List<Future<GenerationResponse>> streams =
          startStreams(cluster, cluster.entryAddresses().get(0));
      awaitStreamsRunning(cluster, cluster.entryAddresses().get(0));

      cluster.process("engine-1").kill();

      for (int i = 0; i < STREAM_COUNT; i++) {
        GenerationResponse response = streams.get(i).get();
        GenerationChecks.assertFromOneBoot(prompt(i), response, bootIds);
        assertWithMessage("%s", response)
            .that(response.isComplete() || response.problem().contains("generation-lost"))
            .isTrue();
      }
    }
  }

  @Test
  void shouldCompleteAllStreamsWhenAnEntryStopsGracefully() throws Exception {
    try (TestCluster cluster = cluster("--warm");
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.samplePlan().objects());
      callerClient.awaitServing(cluster);
      String stoppingEntry = cluster.entryAddresses().get(0);
      List<Future<GenerationResponse>> streams = startStreams(cluster, stoppingEntry);
      awaitStreamsRunning(cluster, stoppingEntry);

      cluster.process("entry-1").terminate();

      for (int i = 0; i < STREAM_COUNT; i++) {
        GenerationChecks.assertComplete(prompt(i), streams.get(i).get());
      }
      assertThat(cluster.process("entry-1").awaitExit()).isEqualTo(0);
      assertThat(callerClient.entries(cluster.entryAddresses().get(1)))
          .doesNotContain(stoppingEntry);
    }
  }

  @Test
  void shouldCompleteAllStreamsWhenAnEngineStopsGracefully() throws Exception {
    try (TestCluster cluster = cluster("--warm");
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.samplePlan().objects());
      callerClient.awaitServing(cluster);
      List<Future<GenerationResponse>> streams =
          startStreams(cluster, cluster.entryAddresses().get(0));
      awaitStreamsRunning(cluster, cluster.entryAddresses().get(0));

      cluster.process("engine-1").terminate();

      for (int i = 0; i < STREAM_COUNT; i++) {
        GenerationChecks.assertComplete(prompt(i), streams.get(i).get());
      }
      assertThat(cluster.process("engine-1").awaitExit()).isEqualTo(0);
    }
  }

  private TestCluster cluster(String... engineOptions) throws Exception {
    return TestCluster.in(folder)
        .withControlProcesses(3)
        .withEntries(3, "address_ttl_millis: 2000\n")
        .withEngines(3, engineOptions)
        .withShops(1)
        .start();
  }

  private List<Future<GenerationResponse>> startStreams(TestCluster cluster, String entry) {
    List<Future<GenerationResponse>> streams = new ArrayList<>();
    for (int i = 0; i < STREAM_COUNT; i++) {
      String prompt = prompt(i);
      streams.add(pool.submit(() -> generateUntilAdmitted(cluster, entry, prompt)));
    }
    return streams;
  }

  /**
   * Retries a refused request after the given delay, and fails over to the next entry once this one
   * accepts no more connections.
   */
  private GenerationResponse generateUntilAdmitted(
      TestCluster cluster, String entry, String prompt) {
    GenerationResponse response = callerClient.generate(entry, prompt, TOKEN_COUNT);
    while (response.status() == 503 || response.status() == 429) {
      LockSupport.parkNanos(response.retryAfter().toNanos());
      response = callerClient.generate(entry, prompt, TOKEN_COUNT);
    }
    if (response.status() == 0 && response.texts().isEmpty()) {
      return generateUntilAdmitted(cluster, nextEntry(cluster, entry), prompt);
    }
    return response;
  }

  private static String nextEntry(TestCluster cluster, String entry) {
    List<String> entries = cluster.entryAddresses();
    return entries.get((entries.indexOf(entry) + 1) % entries.size());
  }

  private void awaitStreamsRunning(TestCluster cluster, String entry) {
    Conditions.await(
        "streams on every engine",
        RUNNING_TIMEOUT,
        () ->
            cluster.upstreamNames().stream()
                .filter(each -> each.startsWith("engine"))
                .allMatch(each -> runningCount(cluster.address(each)) > 0));
    Conditions.await(
        "twenty streams through " + entry,
        RUNNING_TIMEOUT,
        () -> callerClient.dump(entry).path("in_flight").size() >= 20);
  }

  private int runningCount(String engine) {
    return callerClient.json(engine, "/v1/status").path("running").asInt();
  }

  private GenerationResponse resume(
      TestCluster cluster, String entry, int number, GenerationResponse interrupted) {
    if (interrupted.lastEventId().isEmpty()) {
      return generateUntilAdmitted(cluster, entry, prompt(number));
    }
    GenerationResponse remainder =
        callerClient.generate(entry, prompt(number), TOKEN_COUNT, interrupted.lastEventId());
    return interrupted.followedBy(remainder);
  }

  private static String prompt(int number) {
    return "a week of menus for child " + number + " [[tokens=" + TOKEN_COUNT + "]]";
  }
}
