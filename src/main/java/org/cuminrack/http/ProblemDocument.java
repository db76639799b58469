package org.cuminrack.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;

/**
 * An error response, as {@code application/problem+json}.
 *
 * @param type {@code urn:cuminrack:problem:NAME}
 * @param ran whether an upstream executed the request; null if no upstream is involved
 * @param retryAfterMillis the delay before a retry; null if a retry is not expected to succeed
 * @param entries other entries to retry at; null if they are not expected to help
 * @param lastIndex the index of the last token that was sent; null except for a lost generation
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ProblemDocument(
    String type,
    String title,
    int status,
    ExecutionStatus ran,
    Long retryAfterMillis,
    List<String> entries,
    Integer lastIndex) {
  private static final String TYPE_PREFIX = "urn:cuminrack:problem:";
  private static final long MILLIS_PER_SECOND = 1000;

  /** Creates a problem document; docs/PROTOCOL.md lists the names. */
  public static ProblemDocument of(int status, String name, String title) {
    return new ProblemDocument(TYPE_PREFIX + name, title, status, null, null, null, null);
  }

  public ProblemDocument withExecutionStatus(ExecutionStatus value) {
    return new ProblemDocument(type, title, status, value, retryAfterMillis, entries, lastIndex);
  }

  /** Sets the delay before a retry; zero omits it. */
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

  /** Sends this document as the response and ends the exchange. */
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
