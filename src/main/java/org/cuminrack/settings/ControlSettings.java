package org.cuminrack.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.quorum.LossTolerance;
import org.cuminrack.yaml.MappingReader;

/**
 * The settings of a control process.
 *
 * @param dataFolder the folder for the durable state, on the VM's disk
 * @param voters wire addresses of the control VMs that form the group, by VM name
 * @param openGroup whether VMs that are not listed here may join; VM names are then IP addresses
 * @param mayFormGroup whether this VM may form a new group; false on a VM that replaces another
 * @param tolerance the losses of control VMs that the group has to tolerate
 * @param heartbeat the interval of the leader's heartbeats
 * @param electionTimeout the minimum time without a leader before an election
 * @param fleet the fleet service, which receives announcements and serves gateways; optional
 */
public record ControlSettings(
    NodeSettings node,
    Path dataFolder,
    Map<String, String> voters,
    boolean openGroup,
    boolean mayFormGroup,
    LossTolerance tolerance,
    Duration heartbeat,
    Duration electionTimeout,
    Optional<Fleet> fleet) {
  private static final int MAX_LOSSES = 10;
  private static final Duration DEFAULT_HEARTBEAT = Duration.ofMillis(100);
  private static final Duration DEFAULT_ELECTION_TIMEOUT = Duration.ofMillis(500);
  private static final Duration DEFAULT_ADDRESS_TTL = Duration.ofSeconds(2);

  /** Creates settings of a control VM in a group with a fixed set of VMs. */
  public ControlSettings(
      NodeSettings node,
      Path dataFolder,
      Map<String, String> voters,
      Duration heartbeat,
      Duration electionTimeout) {
    this(
        node,
        dataFolder,
        voters,
        false,
        true,
        LossTolerance.ofMinority(voters.size()),
        heartbeat,
        electionTimeout,
        Optional.empty());
  }

  /**
   * The addresses of a control VM's fleet service.
   *
   * @param controlAddress the address for upstreams' announcements and operators' routing changes
   * @param directoryAddress the address where callers look up gateways
   * @param addressTtl how long callers may cache the gateways' addresses
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
    boolean hasSeeds = reader.has("control_seeds");
    Map<String, String> voters =
        hasSeeds
            ? SeedAddresses.byName(reader.texts("control_seeds"), node.wireAddress().getPort())
            : reader.addresses("voters");
    if (hasSeeds && voters.isEmpty()) {
      reader.reject("control_seeds", "one or more addresses");
    }
    return new ControlSettings(
        node,
        reader.file("data_folder"),
        voters,
        hasSeeds,
        reader.flag("may_form", true),
        tolerance(reader, hasSeeds, voters.size()),
        reader.millis("heartbeat_millis", DEFAULT_HEARTBEAT, 10, 1_000),
        reader.millis("election_timeout_millis", DEFAULT_ELECTION_TIMEOUT, 50, 10_000),
        hasSeeds ? Optional.of(Fleet.read(reader)) : Optional.empty());
  }

  /** Reads the losses to tolerate; a group of fixed voters tolerates the loss of a minority. */
  private static LossTolerance tolerance(MappingReader reader, boolean hasSeeds, int voterCount) {
    LossTolerance ofMinority = LossTolerance.ofMinority(voterCount);
    LossTolerance tolerance =
        new LossTolerance(
            reader.number("tolerated_vm_losses", ofMinority.vmLosses(), 0, MAX_LOSSES),
            reader.number("tolerated_data_centre_losses", 0, 0, MAX_LOSSES));
    if (!hasSeeds) {
      String expected = "at most " + ofMinority.vmLosses() + " with " + voterCount + " voters";
      if (tolerance.vmLosses() > ofMinority.vmLosses()) {
        reader.reject("tolerated_vm_losses", expected);
      }
      if (tolerance.dataCentreLosses() > ofMinority.vmLosses()) {
        reader.reject("tolerated_data_centre_losses", expected);
      }
    }
    return tolerance;
  }
}
