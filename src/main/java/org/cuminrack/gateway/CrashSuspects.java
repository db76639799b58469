package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.fleet.CrashedProcess;
import org.cuminrack.fleet.SuspectTable;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.CrashEvidence;
import org.cuminrack.member.CrashReports;
import org.cuminrack.relay.RunningRequests;
import org.cuminrack.relay.UpstreamProcess;
import org.cuminrack.time.Clock;

/**
 * Recognises what crashes the upstreams that run it, over all gateways: a request, by content, or a
 * part of a prompt that many requests share.
 *
 * <p>Each crash of an upstream counts against the requests that ran on it and against the parts of
 * those prompts that it had not processed yet, unless they were sent before the crash that was
 * counted last was known. A completed run clears the count of its content, the first output that of
 * the prompt's parts. After {@link #MAX_CRASHES} counted crashes a content is suspended. So is a
 * part, but only in prompts with all the parts that were beside it each time, since one of those
 * may be the cause; a prompt without them shows which one it is. After {@link
 * #MAX_CRASHES_WITH_COMPANIONS} a part is suspended in any prompt. Control keeps the counts and
 * permits a suspended request to run again after a while.
 *
 * <p>Thread-safe.
 */
public final class CrashSuspects {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Crashes after which a suspect is suspended. */
  static final int MAX_CRASHES = 3;

  /** Crashes after which a part is suspended in any prompt. */
  static final int MAX_CRASHES_WITH_COMPANIONS = 6;

  /** Wait before a gateway asks control for a trial, and after a trial that was granted. */
  private static final Duration TRIAL_WAIT = Duration.ofSeconds(10);

  /**
   * Wait before a gateway asks again if the suspect may be cleared soon, or after it gave back a
   * trial.
   */
  private static final Duration SHORT_TRIAL_WAIT = Duration.ofMillis(250);

  /** Wait after control did not answer a request for a trial. */
  private static final Duration TRIAL_WAIT_WITHOUT_CONTROL = Duration.ofSeconds(1);

  /** The most suspects whose next trial is remembered. */
  private static final int MAX_WAITS = 1_000;

  private final SuspectTable suspects;
  private final RunningRequests running;
  private final CrashReports reports;
  private final SuspectTrials trials;
  private final Clock clock;

  // Guarded by this.
  private final Map<Fingerprint, Long> nextTrialNanos = new HashMap<>();

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

  /** Returns the crashes counted against a content or a part of prompts. */
  int crashes(Fingerprint key) {
    return suspects.crashes(key);
  }

  /**
   * Returns how many upstreams crashed under a content or a part of prompts, whether their crashes
   * were counted or not.
   */
  int crashedUpstreams(Fingerprint key) {
    return suspects.crashedUpstreams(key);
  }

  boolean isSuspended(RequestKeys keys) {
    return keys.all().stream().anyMatch(key -> isSuspended(key, keys));
  }

  /** Returns the keys for which a request is suspended. */
  List<Fingerprint> suspendedKeys(RequestKeys keys) {
    return keys.all().stream().filter(key -> isSuspended(key, keys)).toList();
  }

  private boolean isSuspended(Fingerprint key, RequestKeys keys) {
    int crashes = crashes(key);
    return crashes >= MAX_CRASHES_WITH_COMPANIONS
        || (crashes >= MAX_CRASHES && keys.companionsOf(key).containsAll(suspects.companions(key)))
        || (key.equals(keys.content()) && crashedUpstreams(key) >= MAX_CRASHES);
  }

  /**
   * Returns whether a request is suspended for crashes that overlapped: they count as one, since
   * the upstreams may have crashed for a cause of their own. A trial can clear it soon.
   */
  boolean isUnproven(RequestKeys keys) {
    return isUnproven(suspendedKeys(keys));
  }

  private boolean isUnproven(List<Fingerprint> suspended) {
    return suspended.stream().allMatch(key -> crashes(key) <= 1);
  }

  /**
   * Decides whether a request may be sent: at once if it is not suspended; otherwise control is
   * asked for a trial when one is due.
   *
   * @param executor runs one of the callbacks if control had to be asked; otherwise it is called
   *     before this method returns
   * @param onPermitted receives the trial; empty if the request is not suspended
   * @param onSuspended receives the time until the next trial
   */
  void admit(
      RequestKeys keys,
      Executor executor,
      Consumer<Optional<SuspectTrial>> onPermitted,
      Consumer<Duration> onSuspended) {
    List<Fingerprint> suspended = suspendedKeys(keys);
    if (suspended.isEmpty()) {
      onPermitted.accept(Optional.empty());
      return;
    }
    Optional<Duration> wait = waitOrClaimTrial(suspended);
    if (wait.isPresent()) {
      onSuspended.accept(wait.get());
      return;
    }
    SuspectTrial trial = SuspectTrial.of(suspended);
    trials
        .request(trial)
        .thenAccept(
            outcome ->
                executor.execute(() -> finish(keys, trial, outcome, onPermitted, onSuspended)));
  }

  /**
   * Returns the time until this gateway may ask for a trial of all the keys; empty if it may ask
   * now, which defers the next one.
   */
  private synchronized Optional<Duration> waitOrClaimTrial(List<Fingerprint> suspended) {
    long nowNanos = clock.nanoTime();
    boolean unproven = isUnproven(suspended);
    long nextNanos = nowNanos + (unproven ? SHORT_TRIAL_WAIT : TRIAL_WAIT).toNanos();
    if (nextTrialNanos.size() >= MAX_WAITS) {
      nextTrialNanos.keySet().removeIf(each -> crashedUpstreams(each) < MAX_CRASHES);
    }
    // Control grants the first trial of an unproven request at once.
    long firstNanos = unproven ? nowNanos : nextNanos;
    long waitNanos = 0;
    for (Fingerprint key : suspended) {
      Long dueNanos = nextTrialNanos.putIfAbsent(key, firstNanos);
      waitNanos = Math.max(waitNanos, (dueNanos == null ? firstNanos : dueNanos) - nowNanos);
    }
    if (waitNanos > 0) {
      return Optional.of(Duration.ofNanos(waitNanos));
    }
    suspended.forEach(key -> nextTrialNanos.put(key, nextNanos));
    return Optional.empty();
  }

  private void finish(
      RequestKeys keys,
      SuspectTrial trial,
      SuspectTrials.Outcome outcome,
      Consumer<Optional<SuspectTrial>> onPermitted,
      Consumer<Duration> onSuspended) {
    List<Fingerprint> suspended = trial.suspects();
    logger.atInfo().log(
        "%s",
        LogEvent.named("suspect-trial")
            .with("content", keys.content().shortHex())
            .with("suspects", suspended.stream().map(keys::describe).toList())
            .with("crashes", suspended.stream().map(this::crashes).toList())
            .with("outcome", outcome));
    if (outcome instanceof SuspectTrials.Granted) {
      onPermitted.accept(Optional.of(trial));
      return;
    }
    Duration wait =
        outcome instanceof SuspectTrials.Denied denied
            ? retryAfter(suspended, denied)
            : TRIAL_WAIT_WITHOUT_CONTROL;
    if (outcome instanceof SuspectTrials.Unavailable) {
      // Only the answer may be lost.
      trials.giveBack(trial);
    }
    deferTrial(suspended, wait);
    onSuspended.accept(wait);
  }

  /** Gives back a trial that was granted, but not run. */
  void giveBack(SuspectTrial trial) {
    deferTrial(trial.suspects(), SHORT_TRIAL_WAIT);
    trials.giveBack(trial);
  }

  private Duration retryAfter(List<Fingerprint> suspended, SuspectTrials.Denied denied) {
    boolean mayBeClearedSoon =
        isUnproven(suspended) && denied.retryAfter().compareTo(SHORT_TRIAL_WAIT) > 0;
    return mayBeClearedSoon ? SHORT_TRIAL_WAIT : denied.retryAfter();
  }

  private synchronized void deferTrial(List<Fingerprint> suspended, Duration wait) {
    long nextNanos = clock.nanoTime() + wait.toNanos();
    suspended.forEach(key -> nextTrialNanos.put(key, nextNanos));
  }

  /**
   * Registers a request that is being sent to an upstream.
   *
   * @param knownCrashes returns the crashes known to be counted against a key
   */
  SuspectDispatch dispatch(
      UpstreamRecord upstream, RequestKeys keys, ToIntFunction<Fingerprint> knownCrashes) {
    UpstreamProcess target =
        new UpstreamProcess(
            upstream.id(), upstream.address(), Long.toString(upstream.startedMillis()));
    Map<Fingerprint, CrashEvidence> evidence = new HashMap<>();
    for (Fingerprint key : keys.all()) {
      evidence.put(key, new CrashEvidence(knownCrashes.applyAsInt(key), keys.companionsOf(key)));
    }
    evidence.forEach((key, each) -> running.add(target, key, each));
    return new SuspectDispatch(this, target, keys, evidence);
  }

  void crashed(SuspectDispatch dispatch) {
    CrashedProcess process =
        new CrashedProcess(dispatch.target().upstream(), dispatch.target().bootId());
    dispatch.evidence().forEach((key, each) -> suspects.recordCrash(key, process, each));
    running.reportCrash(dispatch.target(), dispatch.keys().content());
  }

  /** Clears the crashes counted against a key, which an upstream has processed without a crash. */
  void exonerate(Fingerprint key) {
    if (crashes(key) > 0) {
      suspects.clear(key);
      forgetTrial(key);
      reports.clear(key);
    }
  }

  private synchronized void forgetTrial(Fingerprint key) {
    nextTrialNanos.remove(key);
  }

  /** Removes a key from what runs on an upstream. */
  void ended(UpstreamProcess target, Fingerprint key) {
    running.remove(target, key);
  }
}
