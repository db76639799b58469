package org.cuminrack.process;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.cuminrack.fairshare.DemandTable;
import org.cuminrack.fairshare.QueuePolicy;
import org.cuminrack.fleet.FleetView;
import org.cuminrack.fleet.FleetWatcher;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.fleet.SuspectTable;
import org.cuminrack.gateway.CrashSuspects;
import org.cuminrack.gateway.GatewayCounters;
import org.cuminrack.gateway.GatewayHandler;
import org.cuminrack.gateway.GatewaySettings;
import org.cuminrack.gateway.LoadTable;
import org.cuminrack.gateway.ReplicatedSuspectTrials;
import org.cuminrack.gateway.RequestRateLimits;
import org.cuminrack.gateway.RolloutReports;
import org.cuminrack.gateway.ServiceReach;
import org.cuminrack.gateway.UpstreamNotices;
import org.cuminrack.http.HttpServer;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.ControlCalls;
import org.cuminrack.member.ControlClient;
import org.cuminrack.member.CrashReports;
import org.cuminrack.member.ReplicatedCrashReports;
import org.cuminrack.metrics.Metrics;
import org.cuminrack.pace.PaceTable;
import org.cuminrack.platform.PlatformEngineCalls;
import org.cuminrack.platform.PlatformHeaders;
import org.cuminrack.platform.ReadyEndpoint;
import org.cuminrack.platform.RoutingDocuments;
import org.cuminrack.relay.RelayBounds;
import org.cuminrack.relay.RunningRequests;
import org.cuminrack.settings.GatewayNodeSettings;
import org.cuminrack.settings.NodeSettings;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.sharing.BoardSharing;
import org.cuminrack.sharing.SharedTables;
import org.cuminrack.sharing.SharingCounters;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireServer;
import org.cuminrack.wire.WireTraffic;
import org.cuminrack.yaml.YamlError;

/** A gateway VM's process: relays callers' requests to upstreams. */
public final class GatewayProcess implements ManagedService, Reloadable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long MAX_BODY_BYTES = 4L << 20;
  private static final double PERCENT = 100;

  /** No answer to a caller waits for a crash report, so it may outlast the loss of a quorum. */
  private static final Duration CRASH_REPORT_TIMEOUT = Duration.ofSeconds(30);

  private final GatewayNodeSettings settings;
  private final Clock clock;
  private final ServiceStack services = new ServiceStack();
  private final FleetView view = new FleetView(new RoutingDocuments());
  private final LoadTable loads;
  private final DemandTable demand;
  private final RequestRateLimits rateLimits;
  private final UpstreamNotices notices;
  private final BoardSharing sharing;
  private final PaceTable paces;
  private final GatewayHandler handler;
  private final FleetWatcher watcher;
  private final GatewayUse use;
  private final HttpServer callerServer;
  private volatile boolean stopping;

  public GatewayProcess(GatewayNodeSettings settings, Clock clock) {
    this.settings = settings;
    this.clock = clock;
    NodeSettings node = settings.node();
    loads = new LoadTable(clock);
    demand = new DemandTable(clock);
    rateLimits = new RequestRateLimits(this::otherGateways, clock, RandomGenerator.getDefault());
    notices = new UpstreamNotices(clock);
    paces = new PaceTable(clock);
    use = new GatewayUse(settings.size(), this::transferredBytes, clock);
    Metrics metrics = services.add(new Metrics());
    WireClient wire = services.add(new WireClient(node.group()));
    watcher =
        new FleetWatcher(
            view,
            wire,
            Set.copyOf(settings.controlSeeds().values()),
            this::ownRecord,
            use::load,
            clock);
    sharing =
        new BoardSharing(
            node.vm(),
            new SharedTables(loads, rateLimits, notices, demand, paces),
            view,
            wire,
            this::onOthersLoadChanged,
            this::waitingServices,
            clock);
    ControlClient control = new ControlClient(wire, watcher::controlAddresses, clock);
    handler =
        new GatewayHandler(
            view,
            loads,
            sharing,
            demand,
            rateLimits,
            notices,
            new PlatformHeaders(),
            new PlatformEngineCalls(),
            gatewaySettings(settings),
            suspects(control),
            new RequestTimers(metrics),
            paces,
            clock);
    WireServer server = new WireServer(node.wireAddress(), node.group());
    sharing.register(server);
    services.add(server);
    services.add(sharing);
    services.add(watcher);
    services.add(new RolloutReports(node.vm(), handler.versionOutcomes(), control));
    services.add(
        new HttpServer(
            settings.readyAddress(), new ReadyEndpoint(this::isReady), MAX_BODY_BYTES, 1));
    services.add(
        new HttpServer(
            node.httpAddress(),
            new ProcessApi(dump(), metrics(metrics), exchange -> exchange.setStatusCode(404)),
            MAX_BODY_BYTES,
            1));
    HttpServer callers =
        new HttpServer(settings.callerAddress(), handler, MAX_BODY_BYTES, settings.ioThreads());
    callerServer = services.add(settings.size().isStated() ? callers.countingBytes() : callers);
  }

  /** What callers send goes on to upstreams, and what they get came from there. */
  private long transferredBytes() {
    return callerServer.transferredBytes() + WireTraffic.writtenBytes();
  }

  private void onOthersLoadChanged() {
    handler.onRemoteLoadChanged();
  }

  private Set<String> waitingServices() {
    return handler.waitingServices();
  }

  private Set<String> otherGateways() {
    return view.gateways().stream()
        .map(GatewayRecord::vm)
        .filter(vm -> !vm.equals(settings.node().vm()))
        .collect(Collectors.toSet());
  }

  private CrashSuspects suspects(ControlCalls control) {
    CrashReports reports = new ReplicatedCrashReports(control, clock);
    RelayBounds bounds = RelayBounds.defaults().withCrashReportTimeout(CRASH_REPORT_TIMEOUT);
    return new CrashSuspects(
        view.suspects(),
        new RunningRequests(reports, bounds),
        reports,
        new ReplicatedSuspectTrials(control),
        clock);
  }

  private static GatewaySettings gatewaySettings(GatewayNodeSettings settings) {
    return new GatewaySettings(
        settings.retryPercent() / PERCENT,
        settings.retrySlack(),
        settings.announcementTimeout(),
        settings.node().dataCentre(),
        settings.fairShares() ? QueuePolicy.FAIR_SHARES : QueuePolicy.ARRIVAL);
  }

  private GatewayRecord ownRecord() {
    NodeSettings node = settings.node();
    return new GatewayRecord(
        node.vm(),
        node.dataCentre(),
        Addresses.hostAndPort(settings.callerAddress()),
        Addresses.hostAndPort(node.wireAddress()),
        isReady());
  }

  private boolean isReady() {
    return !stopping && view.routing().isPresent();
  }

  @Override
  public void start() {
    services.start();
    logger.atInfo().log(
        "%s",
        LogEvent.named("started")
            .with("role", "gateway")
            .with("vm", settings.node().vm())
            .with("callers", Addresses.hostAndPort(settings.callerAddress()))
            .with("wire", Addresses.hostAndPort(settings.node().wireAddress())));
  }

  /** Applies changed control seeds; any other change of the settings requires a restart. */
  @Override
  public void reload(Path file) {
    Either<List<YamlError>, GatewayNodeSettings> newSettings = SettingsFile.gateway(file);
    if (newSettings.isLeft()) {
      logger.atWarning().log(
          "%s", LogEvent.named("reload-refused").with("detail", newSettings.getLeft()));
      return;
    }
    Map<String, String> seeds = newSettings.get().controlSeeds();
    watcher.replaceSeeds(Set.copyOf(seeds.values()));
    logger.atInfo().log("%s", LogEvent.named("reloaded").with("seeds", seeds.keySet()));
  }

  /** Stops gracefully: the directory stops listing this gateway, and its last requests end. */
  @Override
  public void stop() {
    stopping = true;
    handler.beginStop(settings.stopTimeout());
    watcher.announceSelf();
    logger.atInfo().log(
        "%s",
        LogEvent.named("stopping")
            .with("vm", settings.node().vm())
            .with("running", handler.counters().running()));
    int unfinished = new GatewayStop(handler, settings.stopTimeout(), clock).awaitLastRequest();
    services.stop();
    logger.atInfo().log(
        "%s",
        LogEvent.named("stopped")
            .with("vm", settings.node().vm())
            .with("idle", unfinished == 0)
            .with("unfinished", unfinished));
  }

  private StateDump dump() {
    return new StateDump()
        .with("ready", this::isReady)
        .with("routing_revision", view::routingRevision)
        .with("evacuated", view::evacuatedDataCentres)
        .with("rollouts", () -> view.rollouts().values())
        .with("control", watcher::answeredByAddress)
        .with("gateways", view::gateways)
        .with("own_room", () -> use.load().toDump())
        .with("upstreams", () -> view.upstreams().all())
        .with("own_load", loads::ownLoads)
        .with("boards", sharing::boardsByPool)
        .with("own_boards", sharing::ownBoards)
        .with("rate_limits", rateLimits::ownShares)
        .with("leaving", notices::ownLeaving)
        .with("paused_ms", notices::pauseMillisById)
        .with("pace", paces::paceById)
        .with("suspects", () -> view.suspects().size())
        .with("waiting", handler::queuedGenerations);
  }

  private Metrics metrics(Metrics metrics) {
    for (GatewayCounters.Kind kind : GatewayCounters.Kind.values()) {
      String name = kind.name().toLowerCase(Locale.ROOT).replace('_', '.');
      metrics.counter(
          "cuminrack.gateway." + name, handler.counters(), counters -> counters.get(kind));
    }
    for (SharingCounters.Kind kind : SharingCounters.Kind.values()) {
      String name = kind.name().toLowerCase(Locale.ROOT).replace('_', '.');
      metrics.counter(
          "cuminrack.board." + name, sharing.counters(), counters -> counters.get(kind));
    }
    return metrics
        .gauge("cuminrack.gateway.running", handler.counters(), GatewayCounters::running)
        .gauge("cuminrack.gateway.waiting", handler, GatewayHandler::queuedGenerations)
        .gauge(
            "cuminrack.gateway.services.unreached",
            handler.reach(),
            ServiceReach::unreachedServices)
        .gauge("cuminrack.gateway.use", use, measured -> measured.load().use().orElse(0))
        .gauge("cuminrack.gateway.suspects", view.suspects(), SuspectTable::size)
        .gauge("cuminrack.gateway.routing.revision", view, FleetView::routingRevision);
  }
}
