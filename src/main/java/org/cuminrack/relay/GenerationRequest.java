package org.cuminrack.relay;

import java.util.Locale;
import java.util.Optional;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Priority;

/**
 * A caller's request for a generation.
 *
 * @param organisation whose caller it is
 * @param model the route's name
 * @param service the service that the route leads to
 * @param maxTokens the caller's bound; 0 where it named none
 * @param fingerprint over organisation, route and body as sent
 * @param deadlineNanos on the monotonic clock, when the answer must have begun
 */
record GenerationRequest(
    String organisation,
    String model,
    String service,
    String prompt,
    int maxTokens,
    Priority priority,
    Fingerprint fingerprint,
    long deadlineNanos) {

  /** The body that engines take. */
  record EngineBody(
      String requestId, String model, String prompt, Integer maxTokens, String priority) {}

  AdmissionClient.Shape shape() {
    return new AdmissionClient.Shape(
        service,
        organisation,
        fingerprint,
        PromptBlocks.of(prompt),
        maxTokens,
        priority,
        deadlineNanos);
  }

  EngineBody engineBody(String requestId) {
    Integer bound = maxTokens == 0 ? null : maxTokens;
    return new EngineBody(
        requestId, model, prompt, bound, priority.name().toLowerCase(Locale.ROOT));
  }

  /** Reads a priority as callers write it. */
  static Optional<Priority> priority(String text) {
    for (Priority each : Priority.values()) {
      if (each.name().toLowerCase(Locale.ROOT).equals(text)) {
        return Optional.of(each);
      }
    }
    return Optional.empty();
  }
}
