package org.cuminrack.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.relay.IoContext;

/**
 * Whether one call's request, or a part of its prompt, is suspected of crashing upstreams. Confined
 * to one I/O thread.
 */
final class CallSuspicion {
  private final CrashSuspects suspects;
  private final RequestKeys keys;
  private final Map<Fingerprint, Integer> crashesAtArrival = new HashMap<>();
  private final int upstreamsCrashedAtArrival;
  private int lostDispatches;
  private Optional<SuspectTrial> trial = Optional.empty();
  private boolean sent;

  CallSuspicion(CrashSuspects suspects, RequestKeys keys) {
    this.suspects = suspects;
    this.keys = keys;
    keys.all().forEach(key -> crashesAtArrival.put(key, suspects.crashes(key)));
    this.upstreamsCrashedAtArrival = suspects.crashedUpstreams(keys.content());
  }

  /**
   * Identifies the request by what stays the same when its caller sends it again, and by the parts
   * of its prompt that other requests share.
   */
  static CallSuspicion of(CrashSuspects suspects, RelayedRequest request, String service) {
    return new CallSuspicion(
        suspects, RequestKeys.of(request.content(), service, request.head().promptParts()));
  }

  /** Returns the short form of the content's fingerprint, for the log. */
  String content() {
    return keys.content().shortHex();
  }

  /**
   * Decides whether the request may be sent; see {@link CrashSuspects#admit}.
   *
   * @param onSuspended receives the time until the next trial
   */
  void admit(Executor executor, Runnable onPermitted, Consumer<Duration> onSuspended) {
    suspects.admit(
        keys,
        executor,
        granted -> {
          trial = granted;
          onPermitted.run();
        },
        onSuspended);
  }

  /**
   * Returns whether the request is suspended only for crashes that overlapped, so that a trial may
   * clear it soon.
   */
  boolean isUnproven() {
    return suspects.isUnproven(keys);
  }

  /** Returns why the request is suspended, for the log. */
  String describe() {
    return suspects.suspendedKeys(keys).stream()
        .map(
            key ->
                keys.describe(key)
                    + " crashes "
                    + suspects.crashes(key)
                    + " upstreams "
                    + suspects.crashedUpstreams(key))
        .collect(Collectors.joining(", "));
  }

  /** Returns whether control has permitted the request to run although it is suspended. */
  boolean isOnTrial() {
    return trial.isPresent();
  }

  /** Returns whether the request is suspended; a trial permits it to be sent once. */
  boolean isSuspended() {
    boolean permittedByTrial = isOnTrial() && !sent;
    return !permittedByTrial && suspects.isSuspended(keys);
  }

  /**
   * Returns whether the stream may not go on at another upstream. One that is on trial may be moved
   * there, but not resumed after a loss.
   */
  boolean isSuspendedFromResuming() {
    boolean permittedByTrial = isOnTrial() && lostDispatches == 0;
    return !permittedByTrial && suspects.isSuspended(keys);
  }

  /**
   * Returns whether one more crash could suspend the request, if each dispatch that was lost was
   * one.
   */
  private boolean isOneCrashFromSuspension() {
    int knownUpstreams =
        Math.max(
            suspects.crashedUpstreams(keys.content()), upstreamsCrashedAtArrival + lostDispatches);
    return knownUpstreams >= CrashSuspects.MAX_CRASHES - 1
        || keys.all().stream().anyMatch(key -> knownCrashes(key) >= CrashSuspects.MAX_CRASHES - 1);
  }

  /** Records that a dispatch was lost; its upstream may have crashed. */
  void recordLost() {
    lostDispatches++;
  }

  /**
   * Checks whether the upstream of a lost dispatch has crashed, then goes on. Waits for the result
   * only if it decides whether the request is suspended; otherwise what follows need not wait.
   *
   * @param lost the dispatch; empty if nothing was sent
   */
  void checkLost(Optional<SuspectDispatch> lost, IoContext io, Runnable next) {
    boolean waits = lost.isPresent() && isOneCrashFromSuspension();
    lost.ifPresent(dispatch -> dispatch.lost(io, waits ? next : () -> {}));
    if (!waits) {
      next.run();
    }
  }

  /** Records that the call has ended; a trial that it did not use is given back. */
  void recordEnd() {
    if (!sent) {
      trial.ifPresent(suspects::giveBack);
      trial = Optional.empty();
    }
  }

  /** Registers the request as running on an upstream that has its prompt to process. */
  SuspectDispatch registerDispatch(UpstreamRecord upstream) {
    sent = true;
    return suspects.dispatch(upstream, keys, this::knownCrashes);
  }

  /** Registers the request as running on an upstream that has a copy of its processed prompt. */
  SuspectDispatch registerResumedDispatch(UpstreamRecord upstream) {
    return suspects.dispatch(upstream, keys.withoutPromptParts(), this::knownCrashes);
  }

  private int knownCrashes(Fingerprint key) {
    return Math.max(suspects.crashes(key), crashesAtArrival.get(key) + lostDispatches);
  }
}
