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

/** Drains data centres and retires upstreams under load. */
@Tag("process")
class DrainTest {
  private static final int CALLER_COUNT = 12;
  private static final int TOKEN_COUNT = 20;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  @TempDir Path folder;

  private final CallerClient callerClient = new CallerClient();
  private final ExecutorService pool = Executors.newFixedThreadPool(CALLER_COUNT);
  private final AtomicBoolean stopRequested = new AtomicBoolean();

  @AfterEach
  void stopCallers() {
    pool.shutdownNow();
  }

  @Test
  void shouldDrainADataCentreWithoutInterruptingRequests() throws Exception {
    try (TestCluster cluster = cluster();
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.samplePlan().objects());
      callerClient.awaitServing(cluster);
      List<Future<?>> load = startLoad(cluster);
      awaitWork(cluster, "engine-1");

      operator.apply(List.of(new DataCentre("dc-a", true)));

      assertNoNewWork(cluster, "engine-1");
      operator.apply(List.of(new DataCentre("dc-a", false)));
      awaitWork(cluster, "engine-1");
      stopLoad(load);
    }
  }

  @Test
  void shouldRetireAnUpstreamWithoutInterruptingRequests() throws Exception {
    try (TestCluster cluster = cluster();
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.samplePlan().objects());
      callerClient.awaitServing(cluster);
      List<Future<?>> load = startLoad(cluster);
      awaitWork(cluster, "engine-1");

      operator.apply(List.of(new Upstream("engine-1", true)));

      assertNoNewWork(cluster, "engine-1");
      stopLoad(load);
    }
  }

  private TestCluster cluster() throws Exception {
    return TestCluster.in(folder)
        .withControlProcesses(3)
        .withEntries(3)
        .withEngines(3, "--warm")
        .withShops(1)
        .start();
  }

  /** Waits until the engine is idle, then checks that it stays idle for two seconds. */
  private void assertNoNewWork(TestCluster cluster, String engine) {
    Conditions.await("running requests to end", TIMEOUT, () -> runningCount(cluster, engine) == 0);
    for (int i = 0; i < 20; i++) {
      LockSupport.parkNanos(Duration.ofMillis(100).toNanos());
      assertThat(runningCount(cluster, engine)).isEqualTo(0);
    }
  }

  private void awaitWork(TestCluster cluster, String engine) {
    Conditions.await("work on " + engine, TIMEOUT, () -> runningCount(cluster, engine) > 0);
  }

  private int runningCount(TestCluster cluster, String engine) {
    return callerClient.json(cluster.address(engine), "/v1/status").path("running").asInt();
  }

  private List<Future<?>> startLoad(TestCluster cluster) {
    List<Future<?>> load = new ArrayList<>();
    for (int i = 0; i < CALLER_COUNT; i++) {
      int number = i;
      load.add(pool.submit(() -> generateUntilStopped(cluster, number)));
    }
    return load;
  }

  private void stopLoad(List<Future<?>> load) throws Exception {
    stopRequested.set(true);
    for (Future<?> each : load) {
      each.get();
    }
  }

  private void generateUntilStopped(TestCluster cluster, int callerNumber) {
    for (int i = 0; !stopRequested.get(); i++) {
      String prompt = "menu " + callerNumber + " of " + i + " [[tokens=" + TOKEN_COUNT + "]]";
      String entry = cluster.entryAddresses().get(callerNumber % cluster.entryAddresses().size());
      GenerationResponse response = callerClient.generate(entry, prompt, TOKEN_COUNT);
      if (response.status() == 503) {
        LockSupport.parkNanos(response.retryAfter().toNanos());
      } else {
        GenerationChecks.assertComplete(prompt, response);
      }
    }
  }
}
