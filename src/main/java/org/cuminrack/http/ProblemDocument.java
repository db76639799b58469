package org.cuminrack.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;

/**
 * A refusal, as {@code application/problem+json}.
 *
 * @param type {@code urn:cuminrack:problem:NAME}
 * @param ran null where no upstream is concerned
 * @param retryAfterMillis when coming back helps; null where it doesn't
 * @param entries other entries to go to; null where that doesn't help
 * @param lastIndex the last token that was sent; null but for a lost generation
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ProblemDocument(
    String type,
    String title,
    int status,
    Ran ran,
    Long retryAfterMillis,
    List<String> entries,
    Integer lastIndex) {
  private static final String TYPE_PREFIX = "urn:cuminrack:problem:";
  private static final long MILLIS_PER_SECOND = 1000;

  /** Begins a refusal; the name is one of docs/PROTOCOL.md. */
  public static ProblemDocument of(int status, String name, String title) {
    return new ProblemDocument(TYPE_PREFIX + name, title, status, null, null, null, null);
  }

  public ProblemDocument withRan(Ran value) {
    return new ProblemDocument(type, title, status, value, retryAfterMillis, entries, lastIndex);
  }

  /** Says when coming back helps; zero leaves it out. */
  public ProblemDocument withRetryAfter(Duration value) {
    Long millis = value.isZero() ? null : value.toMillis();
    return new ProblemDocument(type, title, status, ran, millis, entries, lastIndex);
  }

  public ProblemDocument withEntries(List<String> value) {
    return new ProblemDocument(type, title, status, ran, retryAfterMillis, value, lastIndex);
  }

  public ProblemDocument withLastIndex(int value) {
    return new ProblemDocument(type, title, status, ran, retryAfterMillis, entries, value);
  }

  /** Answers the exchange with this refusal and ends it. */
  public void send(HttpServerExchange exchange) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
    if (retryAfterMillis != null) {
      long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Long.toString(seconds));
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(Json.bytes(this)));
  }
}
