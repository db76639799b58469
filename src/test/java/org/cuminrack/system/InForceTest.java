package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.cuminrack.config.DataCentre;
import org.cuminrack.config.Upstream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Measures the time until an accepted change is in force on every entry. */
@Tag("process")
class InForceTest {
  private static final int CHANGE_COUNT = 500;
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(10);

  /**
   * The time within which a change must be in force on every entry, and entries must have joined.
   */
  private static final Duration MAX_IN_FORCE_TIME = Duration.ofSeconds(20);

  /** The lease of 2 s, twice its clock drift margin of 100 ms, and 1 s for everything else. */
  private static final Duration MAX_IN_FORCE_TIME_WITH_FROZEN_ENTRY = Duration.ofMillis(3_200);

  @TempDir Path folder;

  private final CallerClient callerClient = new CallerClient();

  @Test
  void shouldBringEveryChangeIntoForceOnSixEntries() throws Exception {
    try (TestCluster cluster =
            TestCluster.in(folder).withControlProcesses(3).withEntries(6).start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      awaitMembers(cluster, 6);
      Histogram histogram = new Histogram(3);
      for (int i = 0; i < CHANGE_COUNT; i++) {
        histogram.recordValue(inForceMicros(operator, i));
      }

      System.out.printf(
          "in force on 6 entries, %d changes: p50 %.1f ms, p99 %.1f ms, max %.1f ms%n",
          CHANGE_COUNT,
          histogram.getValueAtPercentile(50) / 1e3,
          histogram.getValueAtPercentile(99) / 1e3,
          histogram.getMaxValue() / 1e3);
      assertThat(histogram.getMaxValue()).isLessThan(MAX_IN_FORCE_TIME.toNanos() / 1_000);
    }
  }

  @Test
  void shouldBringAChangeIntoForceOnceTheLeaseOfAFrozenEntryExpires() throws Exception {
    try (TestCluster cluster =
            TestCluster.in(folder).withControlProcesses(3).withEntries(3).start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      awaitMembers(cluster, 3);
      cluster.process("entry-1").freeze();
      long micros = inForceMicros(operator, 1);
      System.out.printf("in force with one of 3 entries frozen: %.1f ms%n", micros / 1e3);

      cluster.process("entry-1").thaw();

      assertThat(micros).isLessThan(MAX_IN_FORCE_TIME_WITH_FROZEN_ENTRY.toNanos() / 1_000);
      awaitRevision(cluster, "entry-1", operator.submit(List.of(new DataCentre("dc-a", true))));
    }
  }

  @Test
  void shouldBringAFrozenControlProcessUpToDateAfterItResumes() throws Exception {
    try (TestCluster cluster =
            TestCluster.in(folder).withControlProcesses(3).withEntries(2).start();
        Operator operator = new Operator(cluster.controlAddresses().subList(1, 3))) {
      awaitMembers(cluster, 2);
      cluster.process("control-1").freeze();
      for (int i = 0; i < 100; i++) {
        operator.submit(List.of(new Upstream("engine-" + i, true)));
      }

      cluster.process("control-1").thaw();

      try (Operator resumed = new Operator(cluster.controlAddresses().subList(0, 1))) {
        assertThat(resumed.client().configuration().get().objects()).hasSize(100);
      }
      long revision = operator.apply(List.of(new DataCentre("dc-a", true)));
      cluster.entryNames().forEach(each -> awaitRevision(cluster, each, revision));
    }
  }

  private static long inForceMicros(Operator operator, int number) {
    long revision = operator.submit(List.of(new Upstream("engine-" + number, true)));
    long acceptedNanos = System.nanoTime();
    Conditions.await(
        "revision " + revision,
        MAX_IN_FORCE_TIME,
        () -> operator.client().inForce(revision, POLL_TIMEOUT).get().inForce());
    return (System.nanoTime() - acceptedNanos) / 1_000;
  }

  private void awaitMembers(TestCluster cluster, int count) {
    for (String entryAddress : cluster.entryAddresses()) {
      Conditions.await(
          count + " entries at " + entryAddress,
          MAX_IN_FORCE_TIME,
          () -> callerClient.entries(entryAddress).size() == count);
    }
  }

  private void awaitRevision(TestCluster cluster, String entryName, long revision) {
    Conditions.await(
        "revision " + revision + " on " + entryName,
        MAX_IN_FORCE_TIME,
        () -> callerClient.dump(cluster.address(entryName)).path("revision").asLong() >= revision);
  }
}
