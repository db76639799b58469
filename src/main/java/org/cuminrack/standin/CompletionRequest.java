package org.cuminrack.standin;

import java.util.Locale;
import java.util.Optional;
import org.cuminrack.admission.Priority;

/**
 * The body of a generation request as entries send it.
 *
 * @param maxTokens the caller's limit on output tokens; 0 for no limit
 */
record CompletionRequest(
    String requestId, String model, String prompt, Integer maxTokens, String priority) {

  CompletionRequest {
    maxTokens = maxTokens == null ? 0 : maxTokens;
  }

  /** Returns a description of the first invalid field, or empty if the request is valid. */
  Optional<String> validationError() {
    if (requestId == null || requestId.isEmpty()) {
      return Optional.of("request_id: expected a text, found nothing");
    }
    if (prompt == null) {
      return Optional.of("prompt: expected a text, found nothing");
    }
    if (maxTokens < 0) {
      return Optional.of("max_tokens: expected 0 or more, found " + maxTokens);
    }
    return Optional.empty();
  }

  Priority schedulingPriority() {
    boolean interactive =
        priority != null && priority.toUpperCase(Locale.ROOT).equals(Priority.INTERACTIVE.name());
    return interactive ? Priority.INTERACTIVE : Priority.STANDARD;
  }
}
