package org.cuminrack.standin;

import com.google.common.flogger.FluentLogger;
import io.undertow.util.Methods;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminrack.http.HttpCall;
import org.cuminrack.http.HttpClient;
import org.cuminrack.http.HttpFailure;
import org.cuminrack.http.HttpResponse;
import org.cuminrack.http.Json;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/**
 * Announces an upstream to the entries and reports its load to the entry named in the latest
 * response. All state except the volatile leave fields is confined to one thread.
 */
final class Announcer implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int OK = 200;
  private static final int DEFAULT_REPORT_INTERVAL_MILLIS = 200;
  private static final Duration LEAVE_ACKNOWLEDGEMENT_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final Announcement announcement;
  private final List<String> entries;
  private final UpstreamState state;
  private final Clock clock;
  private final LaggingLoad laggingLoad;
  private final LaggingCacheEvents laggingCacheEvents;
  private final HttpClient client = new HttpClient();
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("announcer"));
  private String reportTo;
  private int intervalMillis = DEFAULT_REPORT_INTERVAL_MILLIS;
  private int nextEntryIndex;
  private long sequence;
  private volatile boolean leaving;
  private volatile boolean leaveAcknowledged;
  private volatile long leaveStartNanos;

  Announcer(
      Announcement announcement,
      List<String> entries,
      UpstreamState state,
      ReportLag lag,
      Clock clock) {
    this.announcement = announcement;
    this.entries = List.copyOf(entries);
    this.state = state;
    this.clock = clock;
    this.laggingLoad = new LaggingLoad(lag.load());
    this.laggingCacheEvents =
        new LaggingCacheEvents(lag.cacheEvents(), lag.cacheLossPercent(), lag.seed());
  }

  @Override
  public void start() {
    client.start();
    if (!entries.isEmpty()) {
      executor.execute(this::tick);
    }
  }

  /** Reports from now on that the upstream is leaving. */
  void leave() {
    leaveStartNanos = clock.nanoTime();
    leaving = true;
    if (!entries.isEmpty()) {
      executor.execute(this::sendUpdates);
    }
  }

  /**
   * Returns whether an entry acknowledged the leave report, no entries are configured, or the wait
   * for the acknowledgement timed out.
   */
  boolean isLeaveReportDone() {
    long elapsedNanos = clock.nanoTime() - leaveStartNanos;
    boolean timedOut = leaving && elapsedNanos > LEAVE_ACKNOWLEDGEMENT_TIMEOUT.toNanos();
    return leaveAcknowledged || entries.isEmpty() || timedOut;
  }

  @Override
  public void stop() {
    executor.shutdownNow();
    client.stop();
  }

  private void tick() {
    if (state.sendsReports()) {
      sendUpdates();
    }
    if (!executor.isShutdown()) {
      executor.schedule(this::tick, intervalMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void sendUpdates() {
    if (reportTo == null) {
      announce();
    }
    if (reportTo != null) {
      report();
    }
    if (reportTo != null) {
      sendCacheEvents();
    }
  }

  private void announce() {
    String entry = entries.get(nextEntryIndex % entries.size());
    nextEntryIndex++;
    if (post(entry, "/v1/announce", announcement)) {
      logger.atInfo().log("%s", LogEvent.named("announced").with("entry", entry));
    }
  }

  private void report() {
    boolean reportsLeaving = leaving;
    EngineLoad load = laggingLoad.sample(clock.nanoTime(), state.load());
    sequence++;
    LoadReport report =
        new LoadReport(
            announcement.upstream(),
            announcement.bootId(),
            sequence,
            load.running(),
            load.waiting(),
            load.usedTokens(),
            load.preemptions(),
            reportsLeaving);
    boolean acknowledged = post(reportTo, "/v1/report", report);
    if (acknowledged && reportsLeaving) {
      leaveAcknowledged = true;
    }
  }

  private void sendCacheEvents() {
    laggingCacheEvents.add(clock.nanoTime(), state.drainCacheChange());
    Optional<LaggingCacheEvents.Batch> batch = laggingCacheEvents.poll(clock.nanoTime());
    while (batch.isPresent() && reportTo != null) {
      post(reportTo, "/v1/cache-events", cacheEvents(batch.get()));
      batch = laggingCacheEvents.poll(clock.nanoTime());
    }
  }

  private CacheEvents cacheEvents(LaggingCacheEvents.Batch batch) {
    return new CacheEvents(
        announcement.upstream(),
        announcement.bootId(),
        batch.sequence(),
        batch.change().stored(),
        batch.change().removed());
  }

  /**
   * Posts a value as JSON and returns whether the entry accepted it; after a failure the upstream
   * announces itself again.
   */
  private boolean post(String entry, String path, Object value) {
    HttpCall call = HttpCall.of(Methods.POST, entry, path).withJson(value);
    Either<HttpFailure, HttpResponse> response = client.send(call.withTimeout(CALL_TIMEOUT)).join();
    if (response.isLeft() || response.get().status() != OK) {
      reportTo = null;
      return false;
    }
    applyResponse(response.get());
    return true;
  }

  private void applyResponse(HttpResponse response) {
    Json.read(response.body().toByteArray(), ReportResponse.class)
        .peek(
            reply -> {
              reportTo = reply.reportTo() == null ? reportTo : reply.reportTo();
              intervalMillis = reply.intervalMillis() > 0 ? reply.intervalMillis() : intervalMillis;
            });
  }
}
