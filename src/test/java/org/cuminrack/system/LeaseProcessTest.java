package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Methods;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.Upstream;
import org.cuminrack.control.LeaseSettings;
import org.cuminrack.http.HttpCall;
import org.cuminrack.http.HttpClient;
import org.cuminrack.http.Json;
import org.cuminrack.operator.ChangeReply;
import org.cuminrack.operator.ObjectChange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
class LeaseProcessTest {
  private static final Duration LEASE = LeaseSettings.standard().lease();
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int CHANGE_COUNT = 500;

  @TempDir Path folder;
  private final HttpClient http = new HttpClient();

  @BeforeEach
  void start() {
    http.start();
  }

  @AfterEach
  void stop() {
    http.stop();
  }

  @Test
  void shouldPut99PercentOfChangesInForceAtSixEntriesWithinASecond() throws Exception {
    try (TestCluster cluster =
            TestCluster.in(folder).withControlProcesses(3).withEntries(6).start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      awaitLeases(cluster);
      Histogram histogram = new Histogram(3);
      for (int i = 0; i < CHANGE_COUNT; i++) {
        long revision = submit(operator, i);
        histogram.recordValue(millisUntilInForce(operator, revision));
      }

      System.out.printf(
          "in force at 6 entries: p50=%d ms p99=%d ms max=%d ms%n",
          histogram.getValueAtPercentile(50),
          histogram.getValueAtPercentile(99),
          histogram.getMaxValue());
      assertThat(histogram.getValueAtPercentile(99)).isLessThan(1_000L);
    }
  }

  @Test
  void shouldPutAChangeInForceOnceTheLeaseOfAFrozenEntryExpires() throws Exception {
    try (TestCluster cluster =
            TestCluster.in(folder).withControlProcesses(3).withEntries(3).start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      awaitLeases(cluster);
      String frozen = cluster.entryNames().get(0);
      String session = dump(cluster, frozen).get("session_id").asText();
      cluster.process(frozen).freeze();
      long frozenNanos = System.nanoTime();

      long revision = submit(operator, 1);
      long millis = millisUntilInForce(operator, revision);
      long sinceFrozenNanos = System.nanoTime() - frozenNanos;
      cluster.process(frozen).thaw();

      System.out.printf(
          "in force with one entry frozen: %d ms, %d ms since it froze%n",
          millis, Duration.ofNanos(sinceFrozenNanos).toMillis());
      assertThat(millis).isLessThan(LEASE.plusSeconds(1).toMillis());
      Conditions.await(
          frozen + " to serve the change in a new session",
          TIMEOUT,
          () -> hasLeaseAndRevision(cluster, frozen, revision));
      assertThat(dump(cluster, frozen).get("session_id").asText()).isNotEqualTo(session);
    }
  }

  @Test
  void shouldKeepEveryChangeAfterALeaderIsFrozenForFiveLeaseDurations() throws Exception {
    try (TestCluster cluster =
            TestCluster.in(folder).withControlProcesses(3).withEntries(3).start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      awaitLeases(cluster);
      String leader = operator.client().status().get().get("leader").asText();
      cluster.process(leader).freeze();
      int acceptedCount = 0;
      long endNanos = System.nanoTime() + LEASE.multipliedBy(5).toNanos();
      while (System.nanoTime() < endNanos) {
        submit(operator, acceptedCount);
        acceptedCount++;
      }
      cluster.process(leader).thaw();
      long revision = submit(operator, acceptedCount);

      assertThat(millisUntilInForce(operator, revision))
          .isLessThan(LEASE.plusSeconds(1).toMillis());
      assertThat(upstreamCount(operator)).isEqualTo(acceptedCount + 1);
      try (Operator resumedLeader = new Operator(List.of(cluster.address(leader)))) {
        assertThat(upstreamCount(resumedLeader)).isEqualTo(acceptedCount + 1);
      }
    }
  }

  private void awaitLeases(TestCluster cluster) {
    for (String each : cluster.entryNames()) {
      Conditions.await("a lease of " + each, TIMEOUT, () -> hasLeaseAndRevision(cluster, each, 0));
    }
  }

  private boolean hasLeaseAndRevision(TestCluster cluster, String entry, long revision) {
    JsonNode dump = dump(cluster, entry);
    return dump.get("lease_fresh").asBoolean() && dump.get("revision").asLong() >= revision;
  }

  private JsonNode dump(TestCluster cluster, String name) {
    HttpCall call = HttpCall.of(Methods.GET, cluster.address(name), "/dump");
    return Json.readTree(http.send(call).join().get().body().toByteArray()).get();
  }

  private static long submit(Operator operator, int number) {
    List<ObjectChange> changes =
        List.of(ObjectChange.put(new Upstream("engine-" + number, true), 0));
    ChangeReply reply = operator.client().change("change-" + number, changes);
    return ((ChangeReply.Accepted) reply).revision();
  }

  private static long millisUntilInForce(Operator operator, long revision) {
    long startNanos = System.nanoTime();
    Conditions.await(
        "revision " + revision + " in force",
        TIMEOUT,
        () -> operator.client().inForce(revision, Duration.ofSeconds(2)).get().inForce());
    return Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
  }

  private static long upstreamCount(Operator operator) {
    return operator.client().configuration().get().objects().stream()
        .filter(each -> each.object().kind() == ConfigKind.UPSTREAM)
        .count();
  }
}
