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
  public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0);

  /** Returns the sum of two loads. */
  public UpstreamLoad plus(UpstreamLoad other) {
    return new UpstreamLoad(
        requests + other.requests,
        reservedTokens + other.reservedTokens,
        pendingPrefillTokens + other.pendingPrefillTokens);
  }

  /** Returns this load without another one. */
  public UpstreamLoad minus(UpstreamLoad other) {
    return new UpstreamLoad(
        requests - other.requests,
        reservedTokens - other.reservedTokens,
        pendingPrefillTokens - other.pendingPrefillTokens);
  }

  /** Returns the higher value of two loads in each respect. */
  public UpstreamLoad max(UpstreamLoad other) {
    return new UpstreamLoad(
        Math.max(requests, other.requests),
        Math.max(reservedTokens, other.reservedTokens),
        Math.max(pendingPrefillTokens, other.pendingPrefillTokens));
  }
}
