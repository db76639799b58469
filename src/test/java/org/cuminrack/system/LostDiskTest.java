package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.cuminrack.config.Upstream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Control VMs lose their disks one after the other. */
@Tag("process")
class LostDiskTest {
  private static final Duration REPAIR_TIMEOUT = Duration.ofSeconds(30);

  @TempDir Path folder;

  private final CallerClient callerClient = new CallerClient();

  @Test
  void shouldKeepEveryChangeWhenEachDiskIsLostInTurnAndThenAVmFails() throws Exception {
    try (TestCluster cluster = TestCluster.in(folder).withControlProcesses(3).start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      for (int i = 0; i < 50; i++) {
        operator.submit(List.of(new Upstream("engine-" + i, true)));
      }
      for (String name : cluster.controlNames()) {
        String lostReplica = replica(cluster, name);
        cluster.process(name).kill();
        delete(cluster.dataFolder(name));
        cluster.restart(name);
        Conditions.await(
            name + " to be a voter again",
            REPAIR_TIMEOUT,
            () -> !replica(cluster, name).equals(lostReplica) && isVoter(cluster, name));
      }

      cluster.process("control-1").kill();
      operator.submit(List.of(new Upstream("engine-50", true)));

      assertThat(operator.client().configuration().get().objects()).hasSize(51);
    }
  }

  private String replica(TestCluster cluster, String name) {
    return quorum(cluster, name).path("replica").asText();
  }

  /** Returns whether every replica lists the VM's new disk incarnation as a voter. */
  private boolean isVoter(TestCluster cluster, String name) {
    String replica = replica(cluster, name);
    String leader = quorum(cluster, name).path("leader").asText();
    return !leader.isEmpty()
        && !quorum(cluster, leader).path("replacing").asBoolean(true)
        && cluster.controlNames().stream()
            .allMatch(each -> listsAsVoter(cluster, each, name, replica));
  }

  private boolean listsAsVoter(TestCluster cluster, String observer, String name, String replica) {
    String incarnation = quorum(cluster, observer).path("voters").path(name).asText();
    return !incarnation.isEmpty() && replica.contains(incarnation);
  }

  private JsonNode quorum(TestCluster cluster, String name) {
    return callerClient.dump(cluster.address(name)).path("quorum");
  }

  private static void delete(Path folder) throws IOException {
    List<Path> descendantsFirst;
    try (Stream<Path> paths = Files.walk(folder)) {
      descendantsFirst = paths.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path each : descendantsFirst) {
      Files.delete(each);
    }
  }
}
