package org.cuminrack.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.yaml.MappingReader;

/**
 * The settings of a control process.
 *
 * @param dataFolder the folder on the VM's disk that holds its state
 * @param voters wire addresses of the control VMs that form the group, by VM name
 * @param openGroup whether VMs that are not named here may join; their names are IP numbers
 * @param mayForm whether a new group may be formed; false on a VM that replaces another
 * @param heartbeat how often the leader tells the others that it lives
 * @param electionTimeout the shortest time without a leader before an election
 * @param fleet set where the VM also takes announcements and tells gateways of them
 */
public record ControlSettings(
    NodeSettings node,
    Path dataFolder,
    Map<String, String> voters,
    boolean openGroup,
    boolean mayForm,
    Duration heartbeat,
    Duration electionTimeout,
    Optional<Fleet> fleet) {
  private static final Duration DEFAULT_HEARTBEAT = Duration.ofMillis(100);
  private static final Duration DEFAULT_ELECTION_TIMEOUT = Duration.ofMillis(500);
  private static final Duration DEFAULT_ADDRESS_TTL = Duration.ofSeconds(2);

  /** Returns settings of a control VM in a group whose VMs never change. */
  public ControlSettings(
      NodeSettings node,
      Path dataFolder,
      Map<String, String> voters,
      Duration heartbeat,
      Duration electionTimeout) {
    this(node, dataFolder, voters, false, true, heartbeat, electionTimeout, Optional.empty());
  }

  /**
   * Where a control VM serves the fleet.
   *
   * @param controlAddress where upstreams announce themselves and operators change the routing
   * @param directoryAddress where callers ask for gateways
   * @param addressTtl how long callers may keep the gateways they were told
   */
  public record Fleet(
      InetSocketAddress controlAddress, InetSocketAddress directoryAddress, Duration addressTtl) {

    private static Fleet read(MappingReader reader) {
      return new Fleet(
          reader.address("control_address"),
          reader.address("directory_address"),
          reader.millis("address_ttl_millis", DEFAULT_ADDRESS_TTL, 100, 600_000));
    }
  }

  static ControlSettings read(MappingReader reader) {
    NodeSettings node = NodeSettings.read(reader);
    boolean seeded = reader.has("control_seeds");
    Map<String, String> voters =
        seeded
            ? SeedAddresses.byName(reader.texts("control_seeds"), node.wireAddress().getPort())
            : reader.addresses("voters");
    return new ControlSettings(
        node,
        reader.file("data_folder"),
        voters,
        seeded,
        reader.flag("may_form", true),
        reader.millis("heartbeat_millis", DEFAULT_HEARTBEAT, 10, 1_000),
        reader.millis("election_timeout_millis", DEFAULT_ELECTION_TIMEOUT, 50, 10_000),
        seeded ? Optional.of(Fleet.read(reader)) : Optional.empty());
  }
}
