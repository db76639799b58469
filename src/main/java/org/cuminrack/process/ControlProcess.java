package org.cuminrack.process;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.cuminrack.control.ControlService;
import org.cuminrack.control.ControlState;
import org.cuminrack.control.DiskStates;
import org.cuminrack.control.LeaseSettings;
import org.cuminrack.control.OperatorApi;
import org.cuminrack.control.RolloutCodec;
import org.cuminrack.control.RolloutControl;
import org.cuminrack.control.RolloutLeader;
import org.cuminrack.control.RoutingControl;
import org.cuminrack.control.VoterAddresses;
import org.cuminrack.control.WireRenewalExchange;
import org.cuminrack.fleet.ControlVms;
import org.cuminrack.fleet.FleetControl;
import org.cuminrack.fleet.ReplicatedDepartures;
import org.cuminrack.http.HttpServer;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.ControlClient;
import org.cuminrack.metrics.Metrics;
import org.cuminrack.platform.ControlEndpoints;
import org.cuminrack.platform.DirectoryEndpoint;
import org.cuminrack.quorum.DiskHealth;
import org.cuminrack.quorum.QuorumNode;
import org.cuminrack.quorum.QuorumSettings;
import org.cuminrack.quorum.QuorumStatus;
import org.cuminrack.settings.ControlSettings;
import org.cuminrack.settings.NodeSettings;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireServer;

/**
 * A control VM's process: holds a replica of the control state and serves entries and operators.
 */
public final class ControlProcess implements ManagedService, Reloadable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int SNAPSHOT_INTERVAL_ENTRIES = 10_000;
  private static final long MAX_BODY_BYTES = 4L << 20;
  private static final double NANOS_PER_SECOND = 1e9;

  private final ControlSettings settings;
  private final ServiceStack services = new ServiceStack();
  private final HttpServer http;

  public ControlProcess(ControlSettings settings, Clock clock) {
    this.settings = settings;
    NodeSettings node = settings.node();
    ControlState state = new ControlState();
    Metrics metrics = services.add(new Metrics());
    WireClient wire = services.add(new WireClient(node.group()));
    QuorumNode log =
        services.add(
            new QuorumNode(
                quorumSettings(settings), state, wire, clock, RandomGenerator.getDefault()));
    LeaseSettings leases = LeaseSettings.standard();
    WireRenewalExchange renewals =
        new WireRenewalExchange(
            wire,
            () -> renewalVoters(log.status()),
            Addresses.hostAndPort(node.wireAddress()),
            leases,
            clock);
    ControlService control = services.add(new ControlService(log, state, leases, renewals, clock));
    WireServer server = new WireServer(node.wireAddress(), node.group());
    renewals.register(server);
    server.serve(Method.QUORUM_MESSAGE, log.handler());
    control.register(server);
    StateDump dump = dump(log, state);
    ControlClient leaderClient = new ControlClient(wire, () -> addressByVm(log), clock);
    List<HttpServer> fleetServers =
        settings
            .fleet()
            .map(fleet -> addFleet(fleet, log, state, leaderClient, wire, server, dump, clock))
            .orElse(List.of());
    DiskStates disks = new DiskStates(wire, () -> addressByVm(log), log.diskHealth()::refusal);
    disks.register(server);
    ProcessApi api =
        new ProcessApi(
            dump, metrics(metrics, log, state), new OperatorApi(leaderClient, disks).handler());
    // The wire server starts before the HTTP servers: after an outage of all control VMs, no
    // request
    // can be served until the quorum has elected a leader over the wire.
    services.add(server);
    fleetServers.forEach(services::add);
    http = services.add(new HttpServer(node.httpAddress(), api, MAX_BODY_BYTES));
  }

  /** Adds the fleet service; returns the HTTP servers for upstreams, operators and callers. */
  private List<HttpServer> addFleet(
      ControlSettings.Fleet addresses,
      QuorumNode log,
      ControlState state,
      ControlClient leaderClient,
      WireClient wire,
      WireServer server,
      StateDump dump,
      Clock clock) {
    FleetControl fleet =
        services.add(
            new FleetControl(
                state,
                new ReplicatedDepartures(leaderClient),
                wire,
                log::isCurrent,
                () -> controlVms(log),
                settings.tolerance(),
                clock));
    fleet.register(server);
    dump.with("gateways", fleet::gatewaysForDump);
    RoutingControl routing = new RoutingControl(log, state, clock);
    RolloutControl rollouts = new RolloutControl(log, state, clock);
    RolloutLeader rolloutLeader =
        services.add(new RolloutLeader(log, rollouts, fleet::capacity, clock));
    rolloutLeader.register(server);
    int controlPort = addresses.controlAddress().getPort();
    return List.of(
        new HttpServer(
            addresses.controlAddress(),
            new ControlEndpoints(routing, rollouts, fleet, controlPort, clock),
            MAX_BODY_BYTES,
            1),
        new HttpServer(
            addresses.directoryAddress(),
            new DirectoryEndpoint(fleet, addresses.addressTtl(), clock),
            MAX_BODY_BYTES,
            1));
  }

  /** Returns the wire addresses of the configured VMs and of the voters, one of which may lead. */
  private Map<String, String> addressByVm(QuorumNode log) {
    Map<String, String> addresses = new TreeMap<>(settings.voters());
    log.status().voters().keySet().forEach(vm -> addresses.putIfAbsent(vm, wireAddress(vm)));
    return addresses;
  }

  private VoterAddresses renewalVoters(QuorumStatus status) {
    return new VoterAddresses(
        wireAddresses(voterVms(status)), wireAddresses(status.previousVoters().keySet()));
  }

  private Set<String> wireAddresses(Set<String> vms) {
    return vms.stream().map(this::wireAddress).collect(Collectors.toSet());
  }

  /** Returns the current voters, or the configured ones before a group exists. */
  private Set<String> voterVms(QuorumStatus status) {
    return status.voters().isEmpty() ? settings.voters().keySet() : status.voters().keySet();
  }

  private String wireAddress(String vm) {
    int port = settings.node().wireAddress().getPort();
    return settings.voters().getOrDefault(vm, vm + ":" + port);
  }

  private ControlVms controlVms(QuorumNode log) {
    QuorumStatus status = log.status();
    return new ControlVms(
        Addresses.hostAndPort(settings.node().wireAddress()),
        settings.node().dataCentre(),
        voterVms(status).stream()
            .collect(
                Collectors.toMap(
                    this::wireAddress, vm -> status.dataCentres().getOrDefault(vm, ""))),
        status.votersIndex(),
        status.learners().stream().map(this::wireAddress).collect(Collectors.toSet()));
  }

  @Override
  public void start() {
    services.start();
    logger.atInfo().log(
        "%s",
        LogEvent.named("started")
            .with("role", "control")
            .with("vm", settings.node().vm())
            .with("http", httpAddress())
            .with("wire", Addresses.hostAndPort(settings.node().wireAddress())));
  }

  /** Checks the settings and logs the result; changed seeds take effect at the next start. */
  @Override
  public void reload(Path file) {
    SettingsFile.control(file)
        .peek(
            changed ->
                logger.atInfo().log(
                    "%s", LogEvent.named("reloaded").with("seeds", changed.voters().keySet())))
        .peekLeft(
            errors ->
                logger.atWarning().log(
                    "%s", LogEvent.named("reload-refused").with("detail", errors)));
  }

  /** Returns host and port for operators. */
  public String httpAddress() {
    InetSocketAddress address = settings.node().httpAddress();
    return Addresses.hostAndPort(address, http.port());
  }

  /** Returns host and port for other cuminrack processes. */
  public String wireAddress() {
    return Addresses.hostAndPort(settings.node().wireAddress());
  }

  @Override
  public void stop() {
    services.stop();
    logger.atInfo().log("%s", LogEvent.named("stopped").with("vm", settings.node().vm()));
  }

  private static QuorumSettings quorumSettings(ControlSettings settings) {
    Duration electionTimeout = settings.electionTimeout();
    return new QuorumSettings(
        settings.node().vm(),
        settings.node().dataCentre(),
        settings.voters(),
        settings.openGroup() ? settings.node().wireAddress().getPort() : 0,
        settings.mayFormGroup(),
        settings.tolerance(),
        settings.dataFolder(),
        settings.heartbeat(),
        electionTimeout,
        electionTimeout.multipliedBy(2),
        SNAPSHOT_INTERVAL_ENTRIES);
  }

  private static StateDump dump(QuorumNode log, ControlState state) {
    return new StateDump()
        .with("quorum", log::status)
        .with("revision", state::revision)
        .with("ledger_calls", state::ledgerCalls)
        .with("departures", state::departureCount)
        .with(
            "rollouts",
            () -> state.routing().getRolloutsList().stream().map(RolloutCodec::rollout).toList())
        .with("members", () -> state.members().stream().map(Object::toString).toList());
  }

  private static long runningRollouts(ControlState state) {
    return state.routing().getRolloutsList().stream()
        .filter(rollout -> RolloutCodec.rollout(rollout).stage().isRunning())
        .count();
  }

  private static Metrics metrics(Metrics metrics, QuorumNode log, ControlState state) {
    return metrics
        .gauge("cuminrack.quorum.leads", log, node -> node.isLeader() ? 1 : 0)
        .gauge("cuminrack.quorum.term", log, QuorumNode::term)
        .gauge("cuminrack.quorum.commit.index", log, node -> node.status().commitIndex())
        .gauge(
            "cuminrack.quorum.disk.refused.seconds",
            log.diskHealth(),
            disk -> disk.refusedTime().toNanos() / NANOS_PER_SECOND)
        .counter(
            "cuminrack.quorum.disk.refused.writes", log.diskHealth(), DiskHealth::refusedWrites)
        .gauge("cuminrack.control.revision", state, ControlState::revision)
        .gauge("cuminrack.control.members", state, controlState -> controlState.members().size())
        .gauge("cuminrack.control.rollouts.running", state, ControlProcess::runningRollouts)
        .gauge("cuminrack.control.ledger.calls", state, ControlState::ledgerCalls)
        .gauge("cuminrack.control.departures", state, ControlState::departureCount);
  }
}
