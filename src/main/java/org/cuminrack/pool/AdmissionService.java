package org.cuminrack.pool;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cuminrack.admission.Admission;
import org.cuminrack.admission.AdmissionOutcome;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.lifecycle.ServiceThreads;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.Membership;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireHandler;
import org.cuminrack.wire.WireServer;

/**
 * Admission in an entry, the process that accepts callers' requests and relays them to upstreams:
 * owns pools, requests tickets from the owners of other pools, and receives the reports of
 * upstreams. Lock order: no lock is acquired while a pool's lock is held.
 */
public final class AdmissionService implements Admission, UpstreamRegistry, ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_INTERVAL_MILLIS = 20;
  private static final long POLL_INTERVAL_MILLIS = 100;
  private static final long STOP_TIMEOUT_MILLIS = 1000;

  private final Membership membership;
  private final PoolOwner owner;
  private final HandOverSender handOvers;
  private final TicketReturns ticketReturns;
  private final AdmissionContext context;
  private final SummaryPoller poller;
  private final AnnouncementRouter announcements;
  private ScheduledExecutorService ticker;

  /**
   * @param dataCentre this entry's data centre; its pools are preferred in a tie
   * @param calls client for calls to other entries
   */
  public AdmissionService(
      String dataCentre, Membership membership, PoolCalls calls, Clock clock, PolicyKind policy) {
    this.membership = membership;
    this.handOvers = new HandOverSender(membership, calls, clock);
    this.owner = new PoolOwner(membership, clock, policy, handOvers);
    this.ticketReturns = new TicketReturns(membership, owner, calls, clock);
    PoolSelector selector = new PoolSelector(dataCentre, RandomGenerator.getDefault());
    this.context = new AdmissionContext(membership, clock, calls, owner, ticketReturns, selector);
    this.poller = new SummaryPoller(context, calls);
    this.announcements = new AnnouncementRouter(membership, owner, calls);
  }

  /** Registers the handlers for calls from other entries; to be called before the server starts. */
  public AdmissionService serveOn(WireServer server) {
    handlers().forEach(server::serve);
    return this;
  }

  /** Returns the handlers for calls from other entries. */
  Map<Method, WireHandler> handlers() {
    return new PoolHandlers(owner).byMethod();
  }

  @Override
  public void start() {
    subscribeToMembership();
    ticker = ServiceThreads.scheduler("admission");
    schedule(TICK_INTERVAL_MILLIS, this::tick);
    schedule(POLL_INTERVAL_MILLIS, this::poll);
  }

  /** Applies the current view and subscribes to later ones, without starting the periodic work. */
  void subscribeToMembership() {
    membership.onChange(owner::viewChanged);
    owner.viewChanged(membership.view());
  }

  /**
   * Releases every pool, as the first step of a planned stop. Requests that arrive at this entry
   * are still admitted by the owners of the pools.
   */
  public void releasePools() {
    owner.releasePools();
  }

  @Override
  public void stop() {
    if (ticker == null) {
      return;
    }
    owner.releasePools();
    ticker.shutdown();
    try {
      boolean terminated = ticker.awaitTermination(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      logger.atInfo().log("%s", LogEvent.named("admission-stopped").with("ended", terminated));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    ticker = null;
  }

  @Override
  public CompletableFuture<AdmissionOutcome> admit(AdmissionRequest request) {
    return new AdmissionTask(context, withSampledPrefix(request)).start();
  }

  @Override
  public void returnTicket(Ticket ticket, TicketOutcome outcome) {
    RequestKey requestKey = context.outstanding().remove(ticket);
    if (requestKey != null) {
      ticketReturns.returnTicket(PoolKey.parse(ticket.pool()), requestKey, ticket.id(), outcome);
    }
  }

  @Override
  public CompletableFuture<Either<AnnouncementRequired, ReportTarget>> announce(
      Announcement announcement) {
    return announcements.announce(announcement);
  }

  @Override
  public Either<AnnouncementRequired, ReportTarget> report(Report report) {
    return announcements.report(report);
  }

  @Override
  public Either<AnnouncementRequired, ReportTarget> reportCacheEvents(CacheEvents events) {
    return announcements.reportCacheEvents(events);
  }

  /** Returns the summaries of the pools that this entry owns. */
  public List<PoolSummary> ownedPoolSummaries() {
    return owner.pools().stream().map(OwnedPool::summary).toList();
  }

  /** Runs the work that is due in the pools, and the due ticket returns and hand-overs. */
  void tick() {
    owner.tick();
    ticketReturns.tick();
    handOvers.tick();
  }

  /** Fetches missing and stale summaries of the pools in use from their owners. */
  void poll() {
    poller.poll();
  }

  private void schedule(long intervalMillis, Runnable task) {
    ticker.scheduleAtFixedRate(
        () -> runAndLogFailure(task), intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /** Runs a tick or poll and logs its failure, as an exception would cancel the schedule. */
  private static void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.named("admission-tick-failed"));
    }
  }

  private static AdmissionRequest withSampledPrefix(AdmissionRequest request) {
    return new AdmissionRequest(
        request.service(),
        request.organisation(),
        request.fingerprint(),
        request.promptTokens(),
        PrefixSample.of(request.prefixHashes()),
        request.maxOutputTokens(),
        request.priority(),
        request.attempt(),
        request.timeout(),
        request.excludedUpstreams());
  }
}
