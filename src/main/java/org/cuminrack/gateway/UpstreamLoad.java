package org.cuminrack.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The load on an upstream. The JSON names are those of the published state dump.
 *
 * @param requests requests in progress
 * @param reservedTokens engine memory reserved for them, in tokens
 * @param pendingPrefillTokens prompt tokens of generations whose first output has not arrived, so
 *     that their prefill may not be complete
 */
public record UpstreamLoad(
    int requests,
    long reservedTokens,
    @JsonProperty("unread_prompt_tokens") long pendingPrefillTokens) {
  static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0);

  UpstreamLoad plus(UpstreamLoad other) {
    return new UpstreamLoad(
        requests + other.requests,
        reservedTokens + other.reservedTokens,
        pendingPrefillTokens + other.pendingPrefillTokens);
  }
}
