package org.cuminrack.process;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.PathHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import org.cuminrack.control.LeaseSettings;
import org.cuminrack.http.HttpServer;
import org.cuminrack.ledger.ReplicatedLedger;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.ControlClient;
import org.cuminrack.member.EntryIdentity;
import org.cuminrack.member.ReplicatedCrashReports;
import org.cuminrack.member.SessionClient;
import org.cuminrack.metrics.Metrics;
import org.cuminrack.pool.AdmissionService;
import org.cuminrack.pool.AnnounceApi;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.pool.PoolSummary;
import org.cuminrack.relay.CallerApi;
import org.cuminrack.relay.RelayBounds;
import org.cuminrack.relay.RelayCounters;
import org.cuminrack.relay.RelaySettings;
import org.cuminrack.settings.EntrySettings;
import org.cuminrack.settings.NodeSettings;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireServer;
import org.cuminrack.wire.WireTraffic;

/** An entry VM's process: serves callers, receives announcements and owns pools of upstreams. */
public final class EntryProcess implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration MARK_STOPPING_TIMEOUT = Duration.ofSeconds(3);

  private final EntrySettings settings;
  private final ServiceStack services = new ServiceStack();
  private final SessionClient membership;
  private final AdmissionService admission;
  private final CallerApi callerApi;

  public EntryProcess(EntrySettings settings, Clock clock) {
    this.settings = settings;
    NodeSettings node = settings.node();
    Metrics metrics = services.add(new Metrics());
    WireClient wire = services.add(new WireClient(node.group()));
    ControlClient control = new ControlClient(wire, settings.control(), clock);
    membership =
        services.add(new SessionClient(identity(node), control, LeaseSettings.standard(), clock));
    admission =
        services.add(
            new AdmissionService(
                node.dataCentre(), membership, wire::call, clock, PolicyKind.PREDICTIVE));
    WireServer server = services.add(new WireServer(node.wireAddress(), node.group()));
    admission.serveOn(server);
    callerApi =
        new CallerApi(
            membership,
            admission,
            new ReplicatedLedger(control, membership),
            new ReplicatedCrashReports(control, clock),
            relaySettings(settings),
            clock);
    services.add(
        new HttpServer(
            node.httpAddress(),
            new ProcessApi(dump(), metrics(metrics), announceAndCallerApi()),
            RelayBounds.defaults().maxBodyBytes(),
            settings.ioThreads()));
  }

  @Override
  public void start() {
    services.start();
    logger.atInfo().log(
        "%s",
        LogEvent.named("started")
            .with("role", "entry")
            .with("vm", settings.node().vm())
            .with("http", httpAddress())
            .with("wire", Addresses.hostAndPort(settings.node().wireAddress())));
  }

  /** Returns host and port for callers and upstreams. */
  public String httpAddress() {
    return Addresses.hostAndPort(settings.node().httpAddress());
  }

  /**
   * Stops gracefully: the entries stop listing this one in {@code GET /v1/entries}, callers that
   * have cached its address are served until the TTL of the address has passed, and requests in
   * progress then complete.
   */
  @Override
  public void stop() {
    membership.markStopping(MARK_STOPPING_TIMEOUT).join();
    callerApi.beginStop();
    admission.releasePools();
    boolean idle = awaitIdle();
    services.stop();
    logger.atInfo().log(
        "%s", LogEvent.named("stopped").with("vm", settings.node().vm()).with("idle", idle));
  }

  private boolean awaitIdle() {
    try {
      Thread.sleep(settings.addressTtl().toMillis());
      return callerApi.awaitIdle(settings.stopTimeout());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private HttpHandler announceAndCallerApi() {
    return new AnnounceApi(admission).addTo(new PathHandler(callerApi));
  }

  private static EntryIdentity identity(NodeSettings node) {
    return new EntryIdentity(
        node.vm(),
        node.dataCentre(),
        Addresses.hostAndPort(node.httpAddress()),
        Addresses.hostAndPort(node.wireAddress()));
  }

  private static RelaySettings relaySettings(EntrySettings settings) {
    return new RelaySettings(
        settings.node().vm(),
        Addresses.hostAndPort(settings.node().httpAddress()),
        settings.addressTtl(),
        eventKey(settings.eventKeyFile()),
        RelayBounds.defaults());
  }

  private static ByteString eventKey(Path file) {
    try {
      return ByteString.copyFrom(Files.readAllBytes(file));
    } catch (IOException e) {
      throw new UncheckedIOException("event_key_file: expected a readable file", e);
    }
  }

  private StateDump dump() {
    return new StateDump()
        .with("lease_fresh", membership::hasValidLease)
        .with("session_id", membership::sessionId)
        .with("revision", () -> membership.view().revision())
        .with("in_force_revision", membership::inForceRevision)
        .with("members", () -> membership.view().members())
        .with("pools", admission::ownedPoolSummaries)
        .with("relay", callerApi::describeCounters)
        .with("in_flight", callerApi::describeInFlight);
  }

  private Metrics metrics(Metrics metrics) {
    for (RelayCounters counter : RelayCounters.values()) {
      String name = counter.name().toLowerCase(Locale.ROOT).replace('_', '.');
      metrics.counter("cuminrack.relay." + name, callerApi, relay -> relay.counters().get(counter));
    }
    return metrics
        .gauge("cuminrack.entry.lease.fresh", membership, client -> client.hasValidLease() ? 1 : 0)
        .gauge("cuminrack.entry.revision", membership, client -> client.view().revision())
        .gauge("cuminrack.entry.requests.running", callerApi, CallerApi::inFlightCount)
        .gauge("cuminrack.pool.owned", admission, service -> service.ownedPoolSummaries().size())
        .gauge("cuminrack.pool.places.free", admission, EntryProcess::freePlaces)
        .counter("cuminrack.wire.read.bytes", admission, ignored -> WireTraffic.readBytes())
        .counter("cuminrack.wire.written.bytes", admission, ignored -> WireTraffic.writtenBytes());
  }

  private static int freePlaces(AdmissionService admission) {
    return admission.ownedPoolSummaries().stream().mapToInt(PoolSummary::freePlaces).sum();
  }
}
