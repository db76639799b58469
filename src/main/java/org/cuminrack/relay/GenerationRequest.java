package org.cuminrack.relay;

import java.util.Locale;
import java.util.Optional;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Priority;

/**
 * A caller's request for a generation.
 *
 * @param organisation the caller's organisation
 * @param model the model the caller named, which is the name of its route
 * @param service the route's service
 * @param maxTokens the caller's limit on output tokens, or 0 if it set none
 * @param fingerprint hash of organisation, route and body as sent
 * @param deadlineNanos deadline for the start of the response, on the monotonic clock
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

  /** The request body for engines. */
  record EngineBody(
      String requestId, String model, String prompt, Integer maxTokens, String priority) {}

  AdmissionClient.RequestParameters admissionParameters() {
    return new AdmissionClient.RequestParameters(
        service,
        organisation,
        fingerprint,
        PromptBlocks.of(prompt),
        maxTokens,
        priority,
        deadlineNanos);
  }

  EngineBody engineBody(String requestId) {
    Integer limit = maxTokens == 0 ? null : maxTokens;
    return new EngineBody(
        requestId, model, prompt, limit, priority.name().toLowerCase(Locale.ROOT));
  }

  /** Parses the priority in a caller's request; returns empty if it is unknown. */
  static Optional<Priority> parsePriority(String text) {
    for (Priority priority : Priority.values()) {
      if (priority.name().toLowerCase(Locale.ROOT).equals(text)) {
        return Optional.of(priority);
      }
    }
    return Optional.empty();
  }
}
