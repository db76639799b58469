package org.cuminrack.gateway;

/**
 * The load on an upstream.
 *
 * @param requests requests in progress
 * @param reservedTokens engine memory reserved for them
 * @param unreadPromptTokens tokens of prompts whose first output has not arrived
 */
public record UpstreamLoad(int requests, long reservedTokens, long unreadPromptTokens) {
  static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0);

  UpstreamLoad plus(UpstreamLoad other) {
    return new UpstreamLoad(
        requests + other.requests,
        reservedTokens + other.reservedTokens,
        unreadPromptTokens + other.unreadPromptTokens);
  }
}
