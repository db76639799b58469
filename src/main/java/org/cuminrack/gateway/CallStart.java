package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * Starts a call, unless its request is suspended after crashes of upstreams. Confined to one I/O
 * thread.
 */
final class CallStart {
  /** How long a request waits to be cleared by a trial of another call. */
  private static final Duration MAX_CLEARANCE_WAIT = Duration.ofMillis(500);

  private static final Duration CLEARANCE_POLL_INTERVAL = Duration.ofMillis(50);

  private final GatewayContext context;
  private final GatewayCall call;
  private final Runnable start;

  private CallStart(GatewayContext context, GatewayCall call, Runnable start) {
    this.context = context;
    this.call = call;
    this.start = start;
  }

  /**
   * Runs the start of the call, unless the request is suspended and no trial of it is due; then the
   * call fails.
   */
  static void unlessSuspended(GatewayContext context, GatewayCall call, Runnable start) {
    new CallStart(context, call, start).begin();
  }

  private void begin() {
    CallSuspicion suspicion = call.suspicion();
    if (suspicion.isSuspended()
        && !context.selector().hasAvailableUpstream(call.service().name())) {
      // A trial could not be run; the call fails for the lack of an upstream.
      start.run();
      return;
    }
    suspicion.admit(call.io()::execute, this::onAdmitted, this::awaitClearance);
  }

  private void onAdmitted() {
    if (call.hasEnded()) {
      call.suspicion().recordEnd();
    } else {
      start.run();
    }
  }

  /** Fails the call, unless the request may be cleared soon by the trial of another call. */
  private void awaitClearance(Duration wait) {
    CallSuspicion suspicion = call.suspicion();
    if (suspicion.isUnproven() && call.age().compareTo(MAX_CLEARANCE_WAIT) < 0) {
      call.io().after(CLEARANCE_POLL_INTERVAL.toMillis(), this::beginUnlessEnded);
    } else {
      call.fail(GatewayFailure.SUSPENDED, Optional.of(wait), suspicion.describe());
    }
  }

  private void beginUnlessEnded() {
    if (!call.hasEnded()) {
      begin();
    }
  }
}
