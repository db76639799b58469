package org.cuminrack.load;

import java.util.Arrays;

/** The outcome of one request and the arrival times of its tokens. */
final class RequestRecord {
  private static final int INITIAL_GAP_CAPACITY = 64;
  private static final long NANOS_PER_MICRO = 1_000;

  private final PlannedRequest request;
  private RequestOutcome outcome = RequestOutcome.OPEN;
  private String upstream = "";
  private long dispatchNanos;
  private long firstTokenNanos = -1;
  private long lastTokenNanos;
  private int tokens;
  private int[] gapMicros = new int[INITIAL_GAP_CAPACITY];

  RequestRecord(PlannedRequest request) {
    this.request = request;
  }

  PlannedRequest request() {
    return request;
  }

  RequestOutcome outcome() {
    return outcome;
  }

  boolean isOpen() {
    return outcome == RequestOutcome.OPEN;
  }

  void setOutcome(RequestOutcome newOutcome) {
    outcome = newOutcome;
  }

  void recordDispatch(String toUpstream, long nowNanos) {
    upstream = toUpstream;
    dispatchNanos = nowNanos;
  }

  /** Returns the upstream to which the request was last dispatched; empty if there was none. */
  String upstream() {
    return upstream;
  }

  long dispatchNanos() {
    return dispatchNanos;
  }

  void addToken(long nowNanos) {
    if (tokens == 0) {
      firstTokenNanos = nowNanos;
    } else {
      addGap(nowNanos - lastTokenNanos);
    }
    tokens++;
    lastTokenNanos = nowNanos;
  }

  boolean hasFirstToken() {
    return firstTokenNanos >= 0;
  }

  /** Returns the time from the arrival of the request to its first token. */
  long timeToFirstTokenNanos() {
    return firstTokenNanos - request.arrivalNanos();
  }

  int tokens() {
    return tokens;
  }

  int gapCount() {
    return Math.max(0, tokens - 1);
  }

  int gapMicros(int index) {
    return gapMicros[index];
  }

  private void addGap(long nanos) {
    if (tokens > gapMicros.length) {
      gapMicros = Arrays.copyOf(gapMicros, gapMicros.length * 2);
    }
    gapMicros[tokens - 1] = (int) Math.min(Integer.MAX_VALUE, nanos / NANOS_PER_MICRO);
  }
}
