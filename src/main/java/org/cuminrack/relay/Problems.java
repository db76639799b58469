package org.cuminrack.relay;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.http.ExecutionStatus;
import org.cuminrack.http.ProblemDocument;
import org.cuminrack.member.EntryMember;
import org.cuminrack.member.Membership;

/** Builds the problem documents that the data path sends to callers. */
final class Problems {
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORISED = 401;
  private static final int FORBIDDEN = 403;
  private static final int NOT_FOUND = 404;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int CONFLICT = 409;
  private static final int TOO_LARGE = 413;
  private static final int UNPROCESSABLE = 422;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final Membership membership;
  private final RelaySettings settings;

  Problems(Membership membership, RelaySettings settings) {
    this.membership = membership;
    this.settings = settings;
  }

  /** Returns the addresses of the entries that accept callers, those in this data centre first. */
  List<String> entries() {
    String dataCentre = ownDataCentre();
    return membership.view().members().stream()
        .filter(member -> !member.stopping())
        .sorted(Comparator.comparing(member -> !member.dataCentre().equals(dataCentre)))
        .map(EntryMember::httpAddress)
        .toList();
  }

  /** Returns the addresses of the other entries that accept callers. */
  List<String> otherEntries() {
    return entries().stream().filter(address -> !address.equals(settings.httpAddress())).toList();
  }

  private String ownDataCentre() {
    return membership.view().members().stream()
        .filter(member -> member.name().equals(settings.entryName()))
        .map(EntryMember::dataCentre)
        .findFirst()
        .orElse("");
  }

  /**
   * Returns the problem for a refused request. It lists other entries if they may accept the
   * request.
   *
   * @param retryAfter the delay before a retry; zero omits it from the problem
   */
  ProblemDocument refused(
      RefusalReason reason, Duration retryAfter, ExecutionStatus executionStatus) {
    String name = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
    ProblemDocument problem =
        ProblemDocument.of(reason.httpStatus(), name, title(reason))
            .withExecutionStatus(executionStatus)
            .withRetryAfter(retryAfter);
    return canRetryElsewhere(reason) ? problem.withEntries(otherEntries()) : problem;
  }

  private static boolean canRetryElsewhere(RefusalReason reason) {
    return switch (reason) {
      case NO_LEASE, OWNER_MOVING, STOPPING -> true;
      default -> false;
    };
  }

  private static String title(RefusalReason reason) {
    return switch (reason) {
      case OVERLOADED -> "the wait would be longer than the request's timeout";
      case ORGANISATION_LIMIT -> "the organisation's share is in use";
      case NO_UPSTREAM -> "no upstream of the service takes work";
      case DEADLINE -> "the request's timeout has passed";
      case RETRY_BUDGET -> "too many requests are being repeated";
      case POISON -> "the request crashed upstreams that ran it";
      case NO_LEASE -> "this entry has no lease; ask another one";
      case OWNER_MOVING -> "the pool is between two owners";
      case STOPPING -> "this entry is stopping; ask another one";
    };
  }

  ProblemDocument badRequest(String detail) {
    return ProblemDocument.of(BAD_REQUEST, "bad-request", detail)
        .withExecutionStatus(ExecutionStatus.NO);
  }

  ProblemDocument unauthorised(String detail) {
    return ProblemDocument.of(UNAUTHORISED, "unauthorised", detail)
        .withExecutionStatus(ExecutionStatus.NO);
  }

  ProblemDocument forbidden(String detail) {
    return ProblemDocument.of(FORBIDDEN, "unauthorised", detail)
        .withExecutionStatus(ExecutionStatus.NO);
  }

  ProblemDocument unknownRoute(String detail) {
    return ProblemDocument.of(NOT_FOUND, "unknown-route", detail)
        .withExecutionStatus(ExecutionStatus.NO);
  }

  ProblemDocument bodyTimedOut() {
    String title =
        "the body was not sent in " + settings.bounds().requestBodyTimeout().toMillis() + " ms";
    return ProblemDocument.of(REQUEST_TIMEOUT, "bad-request", title)
        .withExecutionStatus(ExecutionStatus.NO);
  }

  ProblemDocument bodyTooLarge(int maxBytes) {
    String title = "expected a body of at most " + maxBytes + " bytes";
    return ProblemDocument.of(TOO_LARGE, "body-too-large", title)
        .withExecutionStatus(ExecutionStatus.NO);
  }

  ProblemDocument idempotencyKeyMissing(String method) {
    String title = "Idempotency-Key: expected on " + method + ", which may not be repeated";
    return ProblemDocument.of(BAD_REQUEST, "idempotency-key-missing", title)
        .withExecutionStatus(ExecutionStatus.NO);
  }

  ProblemDocument idempotencyKeyReused() {
    String title = "Idempotency-Key: used before with another request";
    return ProblemDocument.of(UNPROCESSABLE, "key-reused", title)
        .withExecutionStatus(ExecutionStatus.NO);
  }

  ProblemDocument inProgress(Duration retryAfter) {
    String title = "a request with this Idempotency-Key is in progress";
    Duration retryDelay = retryAfter.isZero() ? DEFAULT_RETRY_AFTER : retryAfter;
    return ProblemDocument.of(CONFLICT, "in-progress", title)
        .withExecutionStatus(ExecutionStatus.UNKNOWN)
        .withRetryAfter(retryDelay);
  }

  ProblemDocument outcomeUnknown() {
    String title = "the request may have run; it will not be sent again under this key";
    return ProblemDocument.of(BAD_GATEWAY, "outcome-unknown", title)
        .withExecutionStatus(ExecutionStatus.UNKNOWN);
  }

  ProblemDocument ledgerUnavailable(Duration retryAfter) {
    Duration retryDelay = retryAfter.isZero() ? DEFAULT_RETRY_AFTER : retryAfter;
    return ProblemDocument.of(UNAVAILABLE, "ledger-unavailable", "the ledger can't be reached")
        .withExecutionStatus(ExecutionStatus.UNKNOWN)
        .withRetryAfter(retryDelay);
  }

  ProblemDocument upstreamFailed(String detail, ExecutionStatus executionStatus) {
    return ProblemDocument.of(BAD_GATEWAY, "upstream-failed", detail)
        .withExecutionStatus(executionStatus);
  }

  ProblemDocument timedOut(ExecutionStatus executionStatus) {
    return ProblemDocument.of(GATEWAY_TIMEOUT, "deadline", title(RefusalReason.DEADLINE))
        .withExecutionStatus(executionStatus);
  }

  ProblemDocument generationLost(int lastIndex) {
    String title = "the engine lost the generation";
    return ProblemDocument.of(BAD_GATEWAY, "generation-lost", title)
        .withExecutionStatus(ExecutionStatus.UNKNOWN)
        .withLastIndex(lastIndex);
  }
}
