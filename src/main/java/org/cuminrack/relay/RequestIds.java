package org.cuminrack.relay;

import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

/** Generates IDs for requests to upstreams, unique across entries and restarts. */
final class RequestIds {
  private final String prefix;
  private final AtomicLong next = new AtomicLong();

  private RequestIds(String prefix) {
    this.prefix = prefix;
  }

  /** Returns a generator whose prefix contains the entry's name and a random part. */
  static RequestIds random(String entryName) {
    return new RequestIds(entryName + "-" + UUID.randomUUID().toString().substring(0, 8));
  }

  /** Returns a generator without a random part, for reproducible tests. */
  static RequestIds withPrefix(String prefix) {
    return new RequestIds(prefix);
  }

  String next() {
    return prefix + "-" + next.incrementAndGet();
  }
}
