package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;

/** Headers used between callers, entries and upstreams. */
final class RelayHeaders {
  /** Sent by callers, and by entries with plain calls: the name of the caller's organisation. */
  static final HttpString ORGANISATION = HttpString.tryFromString("X-Organisation");

  /** Sent by callers: the time in milliseconds within which the response must start. */
  static final HttpString TIMEOUT_MILLIS = HttpString.tryFromString("X-Timeout-Millis");

  /** Sent by callers with at-most-once calls: identifies resends of the same call. */
  static final HttpString IDEMPOTENCY_KEY = HttpString.tryFromString("Idempotency-Key");

  /** Sent by callers to resume a generation: the ID of the last event that they have read. */
  static final HttpString LAST_EVENT_ID = HttpString.tryFromString("Last-Event-ID");

  /** Sent by entries to upstreams, which return it; detects a response to another request. */
  static final HttpString REQUEST_ID = HttpString.tryFromString("X-Request-Id");

  /** Sent by engines: the ID of the generation, under which its tokens can be requested again. */
  static final HttpString GENERATION_ID = HttpString.tryFromString("X-Generation-Id");

  /** Sent by engines: identifies the process; changes with each start. */
  static final HttpString BOOT_ID = HttpString.tryFromString("X-Boot-Id");

  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
  private static final long MAX_RETRY_AFTER_SECONDS = 3600;

  private RelayHeaders() {}

  /**
   * Returns the Retry-After delay of an upstream, at most an hour, or one second if the header is
   * missing or not a number of seconds.
   */
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
