package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.cuminrack.config.DataCentre;
import org.cuminrack.config.Upstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Data centres and upstreams that operators take out while callers go on. */
@Tag("process")
class DrainTest {
  private static final int CALLERS = 12;
  private static final int TOKENS = 20;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  @TempDir Path folder;

  private final Callers callers = new Callers();
  private final ExecutorService pool = Executors.newFixedThreadPool(CALLERS);
  private final AtomicBoolean enough = new AtomicBoolean();

  @AfterEach
  void endCallers() {
    pool.shutdownNow();
  }

  @Test
  void shouldGiveADrainedDataCentreNoNewWorkAndCutNothing() throws Exception {
    try (TestCluster cluster = cluster();
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.shopPlan().objects());
      callers.awaitServing(cluster);
      List<Future<?>> load = startLoad(cluster);
      awaitWork(cluster, "engine-1");

      operator.apply(List.of(new DataCentre("dc-a", true)));

      assertNoNewWork(cluster, "engine-1");
      operator.apply(List.of(new DataCentre("dc-a", false)));
      awaitWork(cluster, "engine-1");
      endLoad(load);
    }
  }

  @Test
  void shouldGiveARetiredUpstreamNoNewWorkAndCutNothing() throws Exception {
    try (TestCluster cluster = cluster();
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.shopPlan().objects());
      callers.awaitServing(cluster);
      List<Future<?>> load = startLoad(cluster);
      awaitWork(cluster, "engine-1");

      operator.apply(List.of(new Upstream("engine-1", true)));

      assertNoNewWork(cluster, "engine-1");
      endLoad(load);
    }
  }

  private TestCluster cluster() throws Exception {
    return TestCluster.in(folder)
        .withControls(3)
        .withEntries(3)
        .withEngines(3, "--warm")
        .withShops(1)
        .start();
  }

  /** Once what runs has ended, the engine's count of requests taken stands still. */
  private void assertNoNewWork(TestCluster cluster, String engine) {
    Conditions.await("what runs to end", TIMEOUT, () -> running(cluster, engine) == 0);
    for (int i = 0; i < 20; i++) {
      LockSupport.parkNanos(Duration.ofMillis(100).toNanos());
      assertThat(running(cluster, engine)).isEqualTo(0);
    }
  }

  private void awaitWork(TestCluster cluster, String engine) {
    Conditions.await("work on " + engine, TIMEOUT, () -> running(cluster, engine) > 0);
  }

  private int running(TestCluster cluster, String engine) {
    return callers.json(cluster.address(engine), "/v1/status").path("running").asInt();
  }

  private List<Future<?>> startLoad(TestCluster cluster) {
    List<Future<?>> load = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      load.add(pool.submit(() -> generateUntilEnough(cluster, number)));
    }
    return load;
  }

  private void endLoad(List<Future<?>> load) throws Exception {
    enough.set(true);
    for (Future<?> each : load) {
      each.get();
    }
  }

  private void generateUntilEnough(TestCluster cluster, int caller) {
    for (int i = 0; !enough.get(); i++) {
      String prompt = "menu " + caller + " of " + i + " [[tokens=" + TOKENS + "]]";
      String entry = cluster.entryAddresses().get(caller % cluster.entryAddresses().size());
      GenerationAnswer answer = callers.generate(entry, prompt, TOKENS);
      if (answer.status() == 503) {
        LockSupport.parkNanos(answer.retryAfter().toNanos());
      } else {
        GenerationChecks.assertWhole(prompt, answer);
      }
    }
  }
}
