package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.control.DepartureRequest;
import org.cuminrack.generated.fleet.ShareCall;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/**
 * Merges the announcements that a control VM receives from upstreams and from other control VMs
 * into its table. Departures are stored in the replicated state before they are acknowledged; other
 * announcements bypass it: upstreams repeat them, and a table in which the newest announcement wins
 * needs no ordering between VMs. Thread-safe.
 */
final class UpstreamAnnouncements {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Delay of responses after a change of upstreams that no caller waits for. */
  static final Duration RESPONSE_DELAY = Duration.ofMillis(50);

  private static final String STORED = "log";

  private final UpstreamTable upstreams;
  private final Departures departures;
  private final AnnouncementSharing sharing;
  private final ResponseSchedule schedule;
  private final Clock clock;

  UpstreamAnnouncements(
      UpstreamTable upstreams,
      Departures departures,
      AnnouncementSharing sharing,
      ResponseSchedule schedule,
      Clock clock) {
    this.upstreams = upstreams;
    this.departures = departures;
    this.sharing = sharing;
    this.schedule = schedule;
    this.clock = clock;
  }

  /**
   * Merges an announcement of an upstream. Completes with true if it may be acknowledged: one that
   * changes routing, or repeats that its upstream takes no new requests, must first be known to so
   * many voters that it survives the tolerated losses; a repeat follows one that may not have been.
   * That an upstream takes no new requests must be stored in the replicated state, too, since it
   * may not be said again.
   */
  CompletableFuture<Boolean> merge(UpstreamRecord announced) {
    long urgentChange = upstreams.lastUrgentChange();
    UpstreamRecord counted = correct(announced);
    boolean changesRouting = mergeCorrected(counted, "announcement");
    if (changesRouting) {
      respond(urgentChange);
    } else if (announced.phase() == UpstreamPhase.READY) {
      return CompletableFuture.completedFuture(true);
    }
    CompletableFuture<Boolean> shared =
        sharing.shareAndAwaitCopies(upstreams.find(counted.id()).orElse(counted));
    return counted.phase() == UpstreamPhase.READY
        ? shared
        : departures.store(counted, changesRouting).thenCombine(shared, Boolean::logicalAnd);
  }

  /**
   * Merges an announcement, and then the departure that may have been stored since it was
   * corrected; returns whether routing changes.
   */
  private boolean mergeCorrected(UpstreamRecord counted, String source) {
    boolean changed = mergeAndLog(counted, source);
    return mergeStored(counted.id()) || changed;
  }

  private UpstreamRecord correct(UpstreamRecord announced) {
    UpstreamRecord counted = departures.correct(announced);
    if (counted.phase() != announced.phase()) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("announcement-outdated")
              .with("upstream", announced.id())
              .with("born_millis", announced.startedMillis())
              .with("sequence", announced.sequence())
              .with("announced", announced.phase())
              .with("stored", counted.phase()));
    }
    return counted;
  }

  /** Merges the announcements that another control VM shares. */
  void mergeShared(byte[] payload) throws InvalidProtocolBufferException {
    long nowNanos = clock.nanoTime();
    long urgentChange = upstreams.lastUrgentChange();
    boolean routingChanged = false;
    for (var data : ShareCall.parseFrom(payload).getUpstreamsList()) {
      routingChanged |= mergeCorrected(correct(FleetCodec.upstream(data, nowNanos)), "control");
    }
    if (routingChanged) {
      respond(urgentChange);
    }
  }

  /** Applies departures, which were just stored, to the upstreams of the table. */
  void applyStored(Collection<DepartureRequest> stored) {
    long urgentChange = upstreams.lastUrgentChange();
    boolean routingChanged = false;
    for (DepartureRequest departure : stored) {
      routingChanged |= mergeStored(departure.getUpstream());
    }
    if (routingChanged) {
      respond(urgentChange);
    }
  }

  /**
   * Adds the departures that this VM has stored and may not have heard of in this run, so that it
   * tells them to gateways that have not either.
   */
  void addRecentDepartures() {
    long urgentChange = upstreams.lastUrgentChange();
    boolean routingChanged = false;
    for (UpstreamRecord departed :
        departures.within(UpstreamTable.LEFT_RETENTION, clock.nanoTime())) {
      if (upstreams.find(departed.id()).isEmpty()) {
        routingChanged |= mergeAndLog(departed, STORED);
      }
    }
    if (routingChanged) {
      respond(urgentChange);
    }
  }

  /** Merges the stored departure of an upstream of the table. */
  private boolean mergeStored(String id) {
    return upstreams
        .find(id)
        .map(departures::correct)
        .filter(counted -> mergeAndLog(counted, STORED))
        .isPresent();
  }

  private boolean mergeAndLog(UpstreamRecord merged, String source) {
    boolean changesRouting = upstreams.merge(merged) == UpstreamChange.ROUTING_CHANGED;
    if (changesRouting) {
      logRoutingChange(merged, source);
    }
    return changesRouting;
  }

  private void respond(long lastUrgentChangeBefore) {
    if (upstreams.lastUrgentChange() > lastUrgentChangeBefore) {
      schedule.respondUrgently();
    } else {
      schedule.respondWithin(RESPONSE_DELAY);
    }
  }

  private static void logRoutingChange(UpstreamRecord upstream, String source) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("upstream-moved")
            .with("upstream", upstream.id())
            .with("service", upstream.service())
            .with("address", upstream.address())
            .with("phase", upstream.phase())
            .with("born_millis", upstream.startedMillis())
            .with("sequence", upstream.sequence())
            .with("source", source));
  }
}
