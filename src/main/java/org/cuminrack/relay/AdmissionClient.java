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

/** Asks for one request's tickets, the first and the one after a failure, on its I/O thread. */
final class AdmissionClient {
  private static final int MAX_ATTEMPTS = 2;

  private final RelayContext context;
  private final IoContext io;
  private final Shape shape;
  private final Set<String> excluded = new HashSet<>();
  private CompletableFuture<AdmissionOutcome> waiting;
  private int attempts;

  AdmissionClient(RelayContext context, IoContext io, Shape shape) {
    this.context = context;
    this.io = io;
    this.shape = shape;
  }

  /** What stays the same over a request's attempts. */
  record Shape(
      String service,
      String organisation,
      Fingerprint fingerprint,
      PromptBlocks prompt,
      int maxOutputTokens,
      Priority priority,
      long deadlineNanos) {}

  /** Asks for a ticket; the answer comes on the I/O thread. */
  void ask(Consumer<AdmissionOutcome> answer) {
    attempts++;
    if (attempts > 1) {
      context.counters().add(RelayCounters.SECOND_ATTEMPTS);
    }
    AdmissionRequest request =
        new AdmissionRequest(
            shape.service(),
            shape.organisation(),
            shape.fingerprint(),
            shape.prompt().tokens(),
            shape.prompt().hashes(),
            shape.maxOutputTokens(),
            shape.priority(),
            attempts,
            remaining(),
            Set.copyOf(excluded));
    waiting = context.admission().admit(request);
    waiting.whenComplete(
        (outcome, failure) ->
            io.execute(() -> answer.accept(failure == null ? outcome : unavailable())));
  }

  private static AdmissionOutcome unavailable() {
    return new AdmissionOutcome.Refused(RefusalReason.OVERLOADED, Duration.ofSeconds(1));
  }

  /** Takes the request out of the queue, if it waits there. */
  void cancel() {
    if (waiting != null) {
      waiting.cancel(false);
    }
  }

  void exclude(String upstream) {
    excluded.add(upstream);
  }

  /** Tells whether another attempt is allowed, as far as this request goes. */
  boolean mayAskAgain() {
    return attempts < MAX_ATTEMPTS && !remaining().isZero();
  }

  /** Returns how long the caller still waits for the answer to begin. */
  Duration remaining() {
    long nanos = shape.deadlineNanos() - context.clock().nanoTime();
    return nanos <= 0 ? Duration.ZERO : Duration.ofNanos(nanos);
  }

  static PromptBlocks noPrompt() {
    return new PromptBlocks(0, List.of());
  }
}
