package org.cuminrack.platform;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import org.cuminrack.gateway.GenerationDemand;
import org.cuminrack.gateway.HeaderTranslation;
import org.cuminrack.gateway.RequestHead;
import org.cuminrack.gateway.ResponseHead;
import org.cuminrack.gateway.ResumePoint;
import org.cuminrack.gateway.UpstreamRequestHead;
import org.cuminrack.pace.StatedLoad;

/** Reads and writes the platform's headers of requests and responses. */
public final class PlatformHeaders implements HeaderTranslation {
  private static final HttpString ATTEMPT_ID = new HttpString("Attempt-Id");
  private static final HttpString DEADLINE_MS = new HttpString("Deadline-Ms");
  private static final HttpString TOKEN_COUNTS = new HttpString("Token-Counts");
  private static final HttpString LENGTH_HINT = new HttpString("Length-Hint");
  private static final HttpString PROMPT_PREFIX = new HttpString("Prompt-Prefix");
  private static final HttpString EXPECT_INSTANCE = new HttpString("Expect-Instance");
  private static final HttpString TENANT = new HttpString("Tenant");
  private static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-Id");
  private static final HttpString KV_BACKUP = new HttpString("Kv-Backup");
  private static final HttpString KV_FROM = new HttpString("Kv-From");
  private static final HttpString NOT_EXECUTED = new HttpString("Not-Executed");
  private static final HttpString SERVER_LIMIT = new HttpString("Server-Limit");
  private static final HttpString SERVER_LEAVING = new HttpString("Server-Leaving");
  private static final HttpString SERVER_LOAD = new HttpString("Server-Load");
  private static final String IS_LEAVING = "1";

  /**
   * Headers of callers that are not forwarded: the API key, and headers that only the gateway may
   * set.
   */
  private static final Set<HttpString> REMOVED_HEADERS =
      Set.of(
          Headers.AUTHORIZATION,
          EXPECT_INSTANCE,
          TENANT,
          KV_BACKUP,
          KV_FROM,
          new HttpString("Kv-Fetch"),
          new HttpString("Hold"),
          new HttpString("Pin-Ms"),
          new HttpString("Request-Priority"),
          new HttpString("Expect-Version"));

  private static final String KEY_SCHEME = "Bearer ";
  private static final int STATUS_MISDIRECTED_REQUEST = 421;
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int MAX_ATTEMPT_ID_LENGTH = 128;

  @Override
  public Either<String, RequestHead> readRequest(HeaderMap headers) {
    String attemptId = headers.getFirst(ATTEMPT_ID);
    if (attemptId == null || attemptId.isBlank() || attemptId.length() > MAX_ATTEMPT_ID_LENGTH) {
      return Either.left("Attempt-Id: expected 1 to " + MAX_ATTEMPT_ID_LENGTH + " characters");
    }
    Either<String, Optional<Long>> deadlineMillis = nonNegativeNumber(headers, DEADLINE_MS);
    if (deadlineMillis.isLeft()) {
      return Either.left(deadlineMillis.getLeft());
    }
    Either<String, Optional<GenerationDemand>> demand = generationDemand(headers);
    return demand.map(
        generationDemand ->
            new RequestHead(
                attemptId,
                deadlineMillis.get().map(Duration::ofMillis),
                apiKey(headers),
                generationDemand,
                promptParts(headers)));
  }

  private static Optional<String> apiKey(HeaderMap headers) {
    return Optional.ofNullable(headers.getFirst(Headers.AUTHORIZATION))
        .filter(value -> value.regionMatches(true, 0, KEY_SCHEME, 0, KEY_SCHEME.length()))
        .map(value -> value.substring(KEY_SCHEME.length()).strip());
  }

  private static Either<String, Optional<Long>> nonNegativeNumber(
      HeaderMap headers, HttpString name) {
    String text = headers.getFirst(name);
    if (text == null) {
      return Either.right(Optional.empty());
    }
    try {
      long value = Long.parseLong(text.strip());
      return value < 0
          ? Either.left(name + ": expected 0 or more, found " + value)
          : Either.right(Optional.of(value));
    } catch (NumberFormatException e) {
      return Either.left(name + ": expected a whole number, found '" + text + "'");
    }
  }

  private static Either<String, Optional<GenerationDemand>> generationDemand(HeaderMap headers) {
    String counts = headers.getFirst(TOKEN_COUNTS);
    if (counts == null) {
      return Either.right(Optional.empty());
    }
    String[] parts = counts.split(",", -1);
    try {
      return Either.right(
          Optional.of(
              new GenerationDemand(
                  Integer.parseInt(parts[0].strip()),
                  Integer.parseInt(parts[1].strip()),
                  lengthHint(headers))));
    } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
      return Either.left("Token-Counts: expected two whole numbers, found '" + counts + "'");
    }
  }

  /**
   * Returns the length hint, or empty if it is missing or invalid: it is only an estimate, so an
   * invalid one does not fail the request.
   */
  private static OptionalInt lengthHint(HeaderMap headers) {
    Either<String, Optional<Long>> hint = nonNegativeNumber(headers, LENGTH_HINT);
    return hint.isLeft() || hint.get().isEmpty()
        ? OptionalInt.empty()
        : OptionalInt.of((int) Math.min(Integer.MAX_VALUE, hint.get().get()));
  }

  /** Returns the ids of the prompt's parts without their token counts, in lower case. */
  private static List<String> promptParts(HeaderMap headers) {
    HeaderValues values = headers.get(PROMPT_PREFIX);
    if (values == null) {
      return List.of();
    }
    return values.stream()
        .flatMap(value -> Arrays.stream(value.split(",")))
        .map(part -> part.split(":", 2)[0].strip().toLowerCase(Locale.ROOT))
        .filter(id -> !id.isEmpty())
        .toList();
  }

  @Override
  public void writeRequest(HeaderMap headers, UpstreamRequestHead head) {
    REMOVED_HEADERS.forEach(headers::remove);
    headers.put(DEADLINE_MS, Math.max(1, head.timeout().toMillis()));
    headers.put(EXPECT_INSTANCE, head.upstreamId());
    head.organisation().ifPresent(organisation -> headers.put(TENANT, organisation));
    head.backupAddress().ifPresent(address -> headers.put(KV_BACKUP, address));
    head.resume().ifPresent(resume -> writeResume(headers, resume));
  }

  private static void writeResume(HeaderMap headers, ResumePoint resume) {
    headers.put(KV_FROM, resume.sourceAddress() + "/" + resume.copyHandle());
    headers.put(LAST_EVENT_ID, resume.lastEventId());
  }

  @Override
  public ResponseHead readResponse(int status, HeaderMap headers, String attemptId) {
    String echoedId = headers.getFirst(ATTEMPT_ID);
    boolean notExecuted = headers.contains(NOT_EXECUTED) || status == STATUS_MISDIRECTED_REQUEST;
    // Only a response that states that the request was not executed may lack the id.
    boolean matchesRequest = echoedId == null ? notExecuted : echoedId.equals(attemptId);
    return new ResponseHead(
        matchesRequest,
        notExecuted,
        status == STATUS_MISDIRECTED_REQUEST,
        requestsPerSecond(headers),
        isLeaving(headers),
        status == STATUS_SERVICE_UNAVAILABLE ? pause(headers) : Either.right(Optional.empty()),
        load(headers));
  }

  private static Either<String, Optional<StatedLoad>> load(HeaderMap headers) {
    String text = headers.getFirst(SERVER_LOAD);
    return text == null
        ? Either.right(Optional.empty())
        : StatedLoadHeader.parse(text).map(Optional::of);
  }

  private static boolean isLeaving(HeaderMap headers) {
    String text = headers.getFirst(SERVER_LEAVING);
    return text != null && text.strip().equals(IS_LEAVING);
  }

  private static Either<String, Optional<Duration>> pause(HeaderMap headers) {
    return nonNegativeDecimal(headers, Headers.RETRY_AFTER, "seconds")
        .map(
            seconds ->
                seconds.isPresent()
                    ? Optional.of(
                        Duration.ofNanos((long) (seconds.getAsDouble() * NANOS_PER_SECOND)))
                    : Optional.empty());
  }

  private static Either<String, OptionalDouble> requestsPerSecond(HeaderMap headers) {
    return nonNegativeDecimal(headers, SERVER_LIMIT, "requests a second");
  }

  private static Either<String, OptionalDouble> nonNegativeDecimal(
      HeaderMap headers, HttpString name, String unit) {
    String text = headers.getFirst(name);
    if (text == null) {
      return Either.right(OptionalDouble.empty());
    }
    try {
      double value = Double.parseDouble(text.strip());
      if (value >= 0 && Double.isFinite(value)) {
        return Either.right(OptionalDouble.of(value));
      }
    } catch (NumberFormatException e) {
      // The same error as for a number that is out of range, below.
    }
    return Either.left(name + ": expected " + unit + ", 0 or more, found '" + text + "'");
  }
}
