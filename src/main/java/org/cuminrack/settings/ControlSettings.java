package org.cuminrack.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.cuminrack.yaml.MappingReader;

/**
 * The settings of a control process.
 *
 * @param dataFolder the folder on the VM's disk that holds its state
 * @param voters wire addresses of the control VMs that form the group, by VM name
 * @param heartbeat how often the leader tells the others that it lives
 * @param electionTimeout the shortest time without a leader before an election
 */
public record ControlSettings(
    NodeSettings node,
    Path dataFolder,
    Map<String, String> voters,
    Duration heartbeat,
    Duration electionTimeout) {
  private static final Duration DEFAULT_HEARTBEAT = Duration.ofMillis(100);
  private static final Duration DEFAULT_ELECTION_TIMEOUT = Duration.ofMillis(500);

  static ControlSettings read(MappingReader reader) {
    return new ControlSettings(
        NodeSettings.read(reader),
        reader.file("data_folder"),
        reader.addresses("voters"),
        reader.millis("heartbeat_millis", DEFAULT_HEARTBEAT, 10, 1_000),
        reader.millis("election_timeout_millis", DEFAULT_ELECTION_TIMEOUT, 50, 10_000));
  }
}
