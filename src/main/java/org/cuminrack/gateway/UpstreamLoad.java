package org.cuminrack.gateway;

/**
 * What is running on an upstream.
 *
 * @param requests requests in progress
 * @param reservedTokens engine memory that they may need
 */
public record UpstreamLoad(int requests, long reservedTokens) {
  static final UpstreamLoad NONE = new UpstreamLoad(0, 0);

  UpstreamLoad plus(UpstreamLoad other) {
    return new UpstreamLoad(requests + other.requests, reservedTokens + other.reservedTokens);
  }
}
