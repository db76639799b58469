package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.fleet.SuspectTable;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.CrashReports;
import org.cuminrack.relay.RunningRequests;
import org.cuminrack.relay.UpstreamProcess;
import org.cuminrack.time.Clock;

/**
 * Recognises requests that crash the upstreams that run them, by content, over all gateways.
 *
 * <p>Each crash of an upstream counts against the requests that ran on it, unless a request was
 * sent before the crash that was counted last was known. A completed run of equal content clears
 * the count. After {@link #MAX_CRASHES} counted crashes the request is suspended. Control keeps the
 * counts and permits a suspended request to run again after a while.
 *
 * <p>Thread-safe.
 */
public final class CrashSuspects {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Crashes after which a request is suspended. */
  static final int MAX_CRASHES = 3;

  /** Wait before a gateway asks control for a trial, and after a trial that was granted. */
  private static final Duration TRIAL_WAIT = Duration.ofSeconds(10);

  /** Wait after control did not answer a request for a trial. */
  private static final Duration TRIAL_WAIT_WITHOUT_CONTROL = Duration.ofSeconds(1);

  /** The most suspended requests whose next trial is remembered. */
  private static final int MAX_WAITS = 1_000;

  private final SuspectTable suspects;
  private final RunningRequests running;
  private final CrashReports reports;
  private final SuspectTrials trials;
  private final Clock clock;
  private final Map<Fingerprint, Long> nextTrialNanos = new ConcurrentHashMap<>();

  public CrashSuspects(
      SuspectTable suspects,
      RunningRequests running,
      CrashReports reports,
      SuspectTrials trials,
      Clock clock) {
    this.suspects = suspects;
    this.running = running;
    this.reports = reports;
    this.trials = trials;
    this.clock = clock;
  }

  /** Returns the crashes counted against a request. */
  int crashes(Fingerprint fingerprint) {
    return suspects.crashes(fingerprint);
  }

  boolean isSuspended(Fingerprint fingerprint) {
    return crashes(fingerprint) >= MAX_CRASHES;
  }

  /**
   * Decides whether a request may be sent: at once if it is not suspended; otherwise control is
   * asked for a trial when one is due.
   *
   * @param executor runs one of the callbacks if control had to be asked; otherwise it is called
   *     before this method returns
   * @param onPermitted receives whether the request is on trial
   * @param onSuspended receives the time until the next trial
   */
  void admit(
      Fingerprint fingerprint,
      Executor executor,
      Consumer<Boolean> onPermitted,
      Consumer<Duration> onSuspended) {
    if (!isSuspended(fingerprint)) {
      onPermitted.accept(false);
      return;
    }
    Optional<Duration> wait = waitOrClaimTrial(fingerprint);
    if (wait.isPresent()) {
      onSuspended.accept(wait.get());
      return;
    }
    trials
        .request(fingerprint)
        .thenAccept(
            outcome ->
                executor.execute(() -> finish(fingerprint, outcome, onPermitted, onSuspended)));
  }

  /**
   * Returns the time until this gateway may ask for a trial; empty if it may ask now, which defers
   * the next one.
   */
  private Optional<Duration> waitOrClaimTrial(Fingerprint fingerprint) {
    long nowNanos = clock.nanoTime();
    if (nextTrialNanos.size() >= MAX_WAITS) {
      nextTrialNanos.keySet().removeIf(each -> !isSuspended(each));
    }
    Long due = nextTrialNanos.putIfAbsent(fingerprint, nowNanos + TRIAL_WAIT.toNanos());
    if (due == null) {
      return Optional.of(TRIAL_WAIT);
    }
    if (due - nowNanos > 0) {
      return Optional.of(Duration.ofNanos(due - nowNanos));
    }
    boolean claimed = nextTrialNanos.replace(fingerprint, due, nowNanos + TRIAL_WAIT.toNanos());
    return claimed ? Optional.empty() : Optional.of(TRIAL_WAIT);
  }

  private void finish(
      Fingerprint fingerprint,
      SuspectTrials.Outcome outcome,
      Consumer<Boolean> onPermitted,
      Consumer<Duration> onSuspended) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("suspect-trial")
            .with("content", fingerprint.shortHex())
            .with("crashes", crashes(fingerprint))
            .with("outcome", outcome));
    if (outcome instanceof SuspectTrials.Granted) {
      onPermitted.accept(true);
      return;
    }
    Duration wait =
        outcome instanceof SuspectTrials.Denied denied
            ? denied.retryAfter()
            : TRIAL_WAIT_WITHOUT_CONTROL;
    nextTrialNanos.put(fingerprint, clock.nanoTime() + wait.toNanos());
    onSuspended.accept(wait);
  }

  /**
   * Registers a request that is being sent to an upstream.
   *
   * @param knownCrashes the crashes known to be counted against the request
   */
  SuspectDispatch dispatch(UpstreamRecord upstream, Fingerprint fingerprint, int knownCrashes) {
    UpstreamProcess target =
        new UpstreamProcess(
            upstream.id(), upstream.address(), Long.toString(upstream.startedMillis()));
    running.add(target, fingerprint, knownCrashes);
    return new SuspectDispatch(this, target, fingerprint, knownCrashes);
  }

  void crashed(SuspectDispatch dispatch) {
    suspects.recordCrash(dispatch.fingerprint(), dispatch.knownCrashes());
    running.reportCrash(dispatch.target(), dispatch.fingerprint());
  }

  void completed(SuspectDispatch dispatch) {
    if (crashes(dispatch.fingerprint()) > 0) {
      suspects.clear(dispatch.fingerprint());
      nextTrialNanos.remove(dispatch.fingerprint());
      reports.clear(dispatch.fingerprint());
    }
  }

  void ended(SuspectDispatch dispatch) {
    running.remove(dispatch.target(), dispatch.fingerprint());
  }
}
