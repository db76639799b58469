package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;

/** Headers used between callers, entries and upstreams. */
final class RelayHeaders {
  static final HttpString ORGANISATION = HttpString.tryFromString("X-Organisation");
  static final HttpString TIMEOUT_MILLIS = HttpString.tryFromString("X-Timeout-Millis");
  static final HttpString IDEMPOTENCY_KEY = HttpString.tryFromString("Idempotency-Key");
  static final HttpString LAST_EVENT_ID = HttpString.tryFromString("Last-Event-ID");
  static final HttpString REQUEST_ID = HttpString.tryFromString("X-Request-Id");
  static final HttpString GENERATION_ID = HttpString.tryFromString("X-Generation-Id");
  static final HttpString BOOT_ID = HttpString.tryFromString("X-Boot-Id");

  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
  private static final long MAX_RETRY_AFTER_SECONDS = 3600;

  private RelayHeaders() {}

  /** Returns the Retry-After delay of an upstream, or one second if it is missing or invalid. */
  static Duration retryAfter(HeaderMap headers) {
    String text = headers.getFirst(Headers.RETRY_AFTER);
    if (text == null) {
      return DEFAULT_RETRY_AFTER;
    }
    try {
      long seconds = Long.parseLong(text.strip());
      return Duration.ofSeconds(Math.max(0, Math.min(seconds, MAX_RETRY_AFTER_SECONDS)));
    } catch (NumberFormatException e) {
      return DEFAULT_RETRY_AFTER;
    }
  }
}
