package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Locale;

/** Why a gateway ends a call whose response is not complete. */
enum CallEnd {
  /** The time limit of the caller or the route has passed. */
  DEADLINE(GatewayFailure.TIMEOUT, GatewayFailure.NOT_SENT),
  /** The gateway stops. */
  STOP(GatewayFailure.STOPPED, GatewayFailure.STOPPING) {
    @Override
    Duration retryAfter(Duration usual) {
      return StopAdmission.RETRY_AFTER;
    }
  };

  private final GatewayFailure ifSent;
  private final GatewayFailure ifNotSent;

  CallEnd(GatewayFailure ifSent, GatewayFailure ifNotSent) {
    this.ifSent = ifSent;
    this.ifNotSent = ifNotSent;
  }

  /** Returns the name used in logs. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the error response for a request that may have run, or that was not sent. */
  GatewayFailure failure(boolean mayHaveRun) {
    return mayHaveRun ? ifSent : ifNotSent;
  }

  /** Returns when a caller whose request was not sent is to come back. */
  Duration retryAfter(Duration usual) {
    return usual;
  }
}
