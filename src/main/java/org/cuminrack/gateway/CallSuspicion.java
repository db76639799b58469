package org.cuminrack.gateway;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.routing.KeyHolder;

/** Whether one call's request is suspected of crashing upstreams. Confined to one I/O thread. */
final class CallSuspicion {
  private final CrashSuspects suspects;
  private final Fingerprint fingerprint;
  private final int crashesAtArrival;
  private int lostDispatches;
  private boolean onTrial;

  private CallSuspicion(CrashSuspects suspects, Fingerprint fingerprint) {
    this.suspects = suspects;
    this.fingerprint = fingerprint;
    this.crashesAtArrival = suspects.crashes(fingerprint);
  }

  /** Identifies the request by what stays the same when its caller sends it again. */
  static CallSuspicion of(
      CrashSuspects suspects,
      HttpServerExchange exchange,
      String pathAndQuery,
      Optional<KeyHolder> keyHolder,
      ByteString body) {
    return new CallSuspicion(
        suspects,
        Fingerprint.of(
            keyHolder.map(KeyHolder::organisation).orElse(""),
            exchange.getRequestMethod() + " " + exchange.getHostAndPort() + pathAndQuery,
            body.toByteArray()));
  }

  /** Returns the short form of the request's fingerprint, for the log. */
  String content() {
    return fingerprint.shortHex();
  }

  /**
   * Decides whether the request may be sent; see {@link CrashSuspects#admit}.
   *
   * @param onSuspended receives the time until the next trial
   */
  void admit(Executor executor, Runnable onPermitted, Consumer<Duration> onSuspended) {
    suspects.admit(
        fingerprint,
        executor,
        trial -> {
          onTrial = trial;
          onPermitted.run();
        },
        onSuspended);
  }

  /** Returns the crashes counted against the request. */
  int crashes() {
    return suspects.crashes(fingerprint);
  }

  /** Returns whether the request is suspended and not on trial. */
  boolean isSuspended() {
    return !onTrial && suspects.isSuspended(fingerprint);
  }

  /**
   * Returns whether one more crash would suspend the request, if each dispatch that was lost was
   * one.
   */
  boolean isOneCrashFromSuspension() {
    return knownCrashes() >= CrashSuspects.MAX_CRASHES - 1;
  }

  /** Records that a dispatch was lost; its upstream may have crashed. */
  void recordLost() {
    lostDispatches++;
  }

  /** Registers the request as running on an upstream. */
  SuspectDispatch registerDispatch(UpstreamRecord upstream) {
    return suspects.dispatch(upstream, fingerprint, knownCrashes());
  }

  private int knownCrashes() {
    return Math.max(crashes(), crashesAtArrival + lostDispatches);
  }
}
