package org.cuminrack.standin;

import java.util.Locale;
import java.util.Optional;
import org.cuminrack.admission.Priority;

/**
 * The body of a generation's request as entries send it.
 *
 * @param maxTokens the caller's bound; 0 for none
 */
record CompletionRequest(
    String requestId, String model, String prompt, Integer maxTokens, String priority) {

  CompletionRequest {
    maxTokens = maxTokens == null ? 0 : maxTokens;
  }

  /** Returns what is wrong with the request, if anything is. */
  Optional<String> fault() {
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

  Priority urgency() {
    boolean interactive =
        priority != null && priority.toUpperCase(Locale.ROOT).equals(Priority.INTERACTIVE.name());
    return interactive ? Priority.INTERACTIVE : Priority.STANDARD;
  }
}
