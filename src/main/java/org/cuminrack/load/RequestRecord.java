package org.cuminrack.load;

import java.util.Arrays;

/** What became of one request, and when its tokens came. */
final class RequestRecord {
  private static final int FIRST_GAPS = 64;
  private static final long NANOS_PER_MICRO = 1_000;

  private final PlannedRequest request;
  private RequestEnd end = RequestEnd.OPEN;
  private String upstream = "";
  private long dispatchNanos;
  private long firstTokenNanos = -1;
  private long lastTokenNanos;
  private int tokens;
  private int[] gapMicros = new int[FIRST_GAPS];

  RequestRecord(PlannedRequest request) {
    this.request = request;
  }

  PlannedRequest request() {
    return request;
  }

  RequestEnd end() {
    return end;
  }

  boolean isOpen() {
    return end == RequestEnd.OPEN;
  }

  void ended(RequestEnd how) {
    end = how;
  }

  void dispatched(String to, long nowNanos) {
    upstream = to;
    dispatchNanos = nowNanos;
  }

  /** Returns the upstream it was last sent to; empty where none. */
  String upstream() {
    return upstream;
  }

  long dispatchNanos() {
    return dispatchNanos;
  }

  void token(long nowNanos) {
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

  /** Returns the time from its arrival to the first token. */
  long firstTokenAfterNanos() {
    return firstTokenNanos - request.atNanos();
  }

  int tokens() {
    return tokens;
  }

  int gaps() {
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
