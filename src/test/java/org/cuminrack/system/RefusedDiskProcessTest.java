package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.cuminrack.config.Upstream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The disk of one control VM after the other refuses writes, as in review/7. */
@Tag("process")
class RefusedDiskProcessTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  @TempDir Path folder;

  private final CallerClient callerClient = new CallerClient();

  @Test
  void shouldReadBackEveryChangeAfterEachDiskRefusedInTurnAndAVmFailed() throws Exception {
    try (TestCluster cluster = TestCluster.in(folder).withControlProcesses(3).start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      int changes = 0;
      for (String name : cluster.controlNames()) {
        operator.submit(List.of(new Upstream("engine-" + changes++, true)));
        RunningProcess victim = cluster.process(name);
        victim.setFileWritesRefused(true);
        awaitRefusedVote(cluster, name);
        operator.submit(List.of(new Upstream("engine-" + changes++, true)));

        JsonNode disk = diskInStatus(operator, name);
        assertThat(disk.path("state").asText()).isEqualTo("refuses-writes");
        assertThat(disk.path("since").asText()).isNotEmpty();
        assertThat(disk.path("detail").asText()).contains("File too large");
        victim.setFileWritesRefused(false);
        Conditions.await(
            "the disk of " + name + " to accept writes",
            TIMEOUT,
            () -> diskInStatus(operator, name).path("state").asText().equals("accepts-writes"));
      }
      cluster.process("control-1").kill();
      operator.submit(List.of(new Upstream("engine-" + changes++, true)));

      assertThat(operator.client().configuration().get().objects()).hasSize(changes);
    }
  }

  /** Freezes the leader, so that a new term makes the victim write a vote. */
  private void awaitRefusedVote(TestCluster cluster, String victim) throws Exception {
    Conditions.await("a leader", TIMEOUT, () -> !leader(cluster, victim).isEmpty());
    String frozen = leader(cluster, victim);
    String other =
        cluster.controlNames().stream()
            .filter(name -> !name.equals(victim) && !name.equals(frozen))
            .findFirst()
            .get();
    cluster.process(frozen).freeze();
    Conditions.await(
        "a new term",
        TIMEOUT,
        () ->
            frozen.equals(victim)
                ? !Set.of("", frozen).contains(leader(cluster, other))
                : isVoteRefused(cluster, victim));
    cluster.process(frozen).thaw();
    Conditions.await(victim + " to refuse a vote", TIMEOUT, () -> isVoteRefused(cluster, victim));
  }

  private boolean isVoteRefused(TestCluster cluster, String victim) {
    return quorum(cluster, victim).path("disk_refusal").asText().startsWith("vote: ");
  }

  private String leader(TestCluster cluster, String observer) {
    return quorum(cluster, observer).path("leader").asText();
  }

  private JsonNode quorum(TestCluster cluster, String name) {
    return callerClient.dump(cluster.address(name)).path("quorum");
  }

  private static JsonNode diskInStatus(Operator operator, String name) {
    return operator.client().status().get().path("disks").path(name);
  }
}
