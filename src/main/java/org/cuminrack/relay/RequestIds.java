package org.cuminrack.relay;

import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

/** Names requests to upstreams: unique over entries and their lives. */
final class RequestIds {
  private final String prefix;
  private final AtomicLong next = new AtomicLong();

  private RequestIds(String prefix) {
    this.prefix = prefix;
  }

  static RequestIds random(String entryName) {
    return new RequestIds(entryName + "-" + UUID.randomUUID().toString().substring(0, 8));
  }

  /** Returns ids that are the same in each run; for tests. */
  static RequestIds fixed(String prefix) {
    return new RequestIds(prefix);
  }

  String next() {
    return prefix + "-" + next.incrementAndGet();
  }
}
