package org.cuminrack.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cuminrack.admission.AdmissionOutcome;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Priority;
import org.cuminrack.admission.RefusalReason;

/**
 * Requests admission tickets for one request: one for the first attempt and one for a retry.
 * Confined to the I/O thread of the request's exchange.
 */
final class AdmissionClient {
  private static final int MAX_ATTEMPTS = 2;

  private final RelayContext context;
  private final IoContext io;
  private final RequestParameters parameters;
  private final Set<String> excludedUpstreams = new HashSet<>();
  private CompletableFuture<AdmissionOutcome> pendingOutcome;
  private int attempts;

  AdmissionClient(RelayContext context, IoContext io, RequestParameters parameters) {
    this.context = context;
    this.io = io;
    this.parameters = parameters;
  }

  /** The parameters shared by all attempts of a request. */
  record RequestParameters(
      String service,
      String organisation,
      Fingerprint fingerprint,
      PromptBlocks prompt,
      int maxOutputTokens,
      Priority priority,
      long deadlineNanos) {}

  /** Requests a ticket; the callback runs on the I/O thread. */
  void requestTicket(Consumer<AdmissionOutcome> callback) {
    attempts++;
    if (attempts > 1) {
      context.counters().add(RelayCounters.SECOND_ATTEMPTS);
    }
    AdmissionRequest request =
        new AdmissionRequest(
            parameters.service(),
            parameters.organisation(),
            parameters.fingerprint(),
            parameters.prompt().tokens(),
            parameters.prompt().hashes(),
            parameters.maxOutputTokens(),
            parameters.priority(),
            attempts,
            remainingTime(),
            Set.copyOf(excludedUpstreams));
    pendingOutcome = context.admission().admit(request);
    pendingOutcome.whenComplete(
        (outcome, failure) ->
            io.execute(
                () -> callback.accept(failure == null ? outcome : outcomeOfFailedAdmission())));
  }

  private static AdmissionOutcome outcomeOfFailedAdmission() {
    return new AdmissionOutcome.Refused(RefusalReason.OVERLOADED, Duration.ofSeconds(1));
  }

  /** Removes the request from the admission queue, if it is queued. */
  void cancel() {
    if (pendingOutcome != null) {
      pendingOutcome.cancel(false);
    }
  }

  /** Excludes an upstream from further attempts. */
  void exclude(String upstream) {
    excludedUpstreams.add(upstream);
  }

  /** Returns whether the attempts and the deadline of this request allow a retry. */
  boolean mayRetry() {
    return attempts < MAX_ATTEMPTS && !remainingTime().isZero();
  }

  /** Returns the time left until the response must start. */
  Duration remainingTime() {
    long nanos = parameters.deadlineNanos() - context.clock().nanoTime();
    return nanos <= 0 ? Duration.ZERO : Duration.ofNanos(nanos);
  }

  static PromptBlocks emptyPrompt() {
    return new PromptBlocks(0, List.of());
  }
}
