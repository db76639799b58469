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

/** Streams in progress while processes die or stop. */
@Tag("process")
class StreamProcessTest {
  private static final int STREAMS = 100;
  private static final int TOKENS = 60;
  private static final Duration RUNNING_TIMEOUT = Duration.ofSeconds(30);

  @TempDir Path folder;

  private final Callers callers = new Callers();
  private final ExecutorService pool = Executors.newFixedThreadPool(STREAMS);

  @AfterEach
  void endCallers() {
    pool.shutdownNow();
  }

  @Test
  void shouldGoOnAtAnotherEntryWhereAnEntryIsKilled() throws Exception {
    try (TestCluster cluster = cluster("--warm");
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.shopPlan().objects());
      callers.awaitServing(cluster);
      String dying = cluster.entryAddresses().get(0);
      String other = cluster.entryAddresses().get(1);
      List<Future<GenerationAnswer>> streams = startStreams(cluster, dying);
      awaitStreamsRunning(cluster, dying);

      cluster.process("entry-1").kill();

      int resumed = 0;
      for (int i = 0; i < STREAMS; i++) {
        GenerationAnswer answer = streams.get(i).get();
        if (!answer.isWhole()) {
          answer = goOn(cluster, other, i, answer);
          resumed++;
        }
        GenerationChecks.assertWhole(prompt(i), answer);
      }
      assertThat(resumed).isGreaterThan(0);
    }
  }

  @Test
  void shouldNeverSpliceTwoGenerationsWhereAnEngineIsKilled() throws Exception {
    try (TestCluster cluster = cluster("--warm", "--distinct-per-boot");
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.shopPlan().objects());
      callers.awaitServing(cluster);
      List<String> bootIds = new ArrayList<>();
      for (String each : List.of("engine-1", "engine-2", "engine-3")) {
        bootIds.add(cluster.process(each).awaitStarted("boot_id"));
      }
      List<Future<GenerationAnswer>> streams =
          startStreams(cluster, cluster.entryAddresses().get(0));
      awaitStreamsRunning(cluster, cluster.entryAddresses().get(0));

      cluster.process("engine-1").kill();

      for (int i = 0; i < STREAMS; i++) {
        GenerationAnswer answer = streams.get(i).get();
        GenerationChecks.assertOneLife(prompt(i), answer, bootIds);
        assertWithMessage("%s", answer)
            .that(answer.isWhole() || answer.problem().contains("generation-lost"))
            .isTrue();
      }
    }
  }

  @Test
  void shouldCutNoStreamOfAnEntryThatStopsAsPlanned() throws Exception {
    try (TestCluster cluster = cluster("--warm");
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.shopPlan().objects());
      callers.awaitServing(cluster);
      String stopping = cluster.entryAddresses().get(0);
      List<Future<GenerationAnswer>> streams = startStreams(cluster, stopping);
      awaitStreamsRunning(cluster, stopping);

      cluster.process("entry-1").terminate();

      for (int i = 0; i < STREAMS; i++) {
        GenerationChecks.assertWhole(prompt(i), streams.get(i).get());
      }
      assertThat(cluster.process("entry-1").awaitExit()).isEqualTo(0);
      assertThat(callers.entries(cluster.entryAddresses().get(1))).doesNotContain(stopping);
    }
  }

  @Test
  void shouldCutNoStreamOfAnEngineThatLeavesAsPlanned() throws Exception {
    try (TestCluster cluster = cluster("--warm");
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.shopPlan().objects());
      callers.awaitServing(cluster);
      List<Future<GenerationAnswer>> streams =
          startStreams(cluster, cluster.entryAddresses().get(0));
      awaitStreamsRunning(cluster, cluster.entryAddresses().get(0));

      cluster.process("engine-1").terminate();

      for (int i = 0; i < STREAMS; i++) {
        GenerationChecks.assertWhole(prompt(i), streams.get(i).get());
      }
      assertThat(cluster.process("engine-1").awaitExit()).isEqualTo(0);
    }
  }

  private TestCluster cluster(String... engineOptions) throws Exception {
    return TestCluster.in(folder)
        .withControls(3)
        .withEntries(3, "address_ttl_millis: 2000\n")
        .withEngines(3, engineOptions)
        .withShops(1)
        .start();
  }

  private List<Future<GenerationAnswer>> startStreams(TestCluster cluster, String entry) {
    List<Future<GenerationAnswer>> streams = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      String prompt = prompt(i);
      streams.add(pool.submit(() -> untilAdmitted(cluster, entry, prompt)));
    }
    return streams;
  }

  /**
   * Comes back when refused, as a caller does, and asks another entry once this one takes no
   * connection any more.
   */
  private GenerationAnswer untilAdmitted(TestCluster cluster, String entry, String prompt) {
    GenerationAnswer answer = callers.generate(entry, prompt, TOKENS);
    while (answer.status() == 503 || answer.status() == 429) {
      LockSupport.parkNanos(answer.retryAfter().toNanos());
      answer = callers.generate(entry, prompt, TOKENS);
    }
    if (answer.status() == 0 && answer.texts().isEmpty()) {
      return untilAdmitted(cluster, nextEntry(cluster, entry), prompt);
    }
    return answer;
  }

  private static String nextEntry(TestCluster cluster, String entry) {
    List<String> all = cluster.entryAddresses();
    return all.get((all.indexOf(entry) + 1) % all.size());
  }

  private void awaitStreamsRunning(TestCluster cluster, String entry) {
    Conditions.await(
        "streams on every engine",
        RUNNING_TIMEOUT,
        () ->
            cluster.upstreams().stream()
                .filter(each -> each.startsWith("engine"))
                .allMatch(each -> running(cluster.address(each)) > 0));
    Conditions.await(
        "twenty streams through " + entry,
        RUNNING_TIMEOUT,
        () -> callers.dump(entry).path("in_flight").size() >= 20);
  }

  private int running(String engine) {
    return callers.json(engine, "/v1/status").path("running").asInt();
  }

  private GenerationAnswer goOn(
      TestCluster cluster, String entry, int number, GenerationAnswer broken) {
    if (broken.lastEventId().isEmpty()) {
      return untilAdmitted(cluster, entry, prompt(number));
    }
    GenerationAnswer rest = callers.generate(entry, prompt(number), TOKENS, broken.lastEventId());
    return broken.followedBy(rest);
  }

  private static String prompt(int number) {
    return "a week of menus for child " + number + " [[tokens=" + TOKENS + "]]";
  }
}
