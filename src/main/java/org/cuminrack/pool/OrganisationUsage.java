package org.cuminrack.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * The predicted tokens of the running requests of each organisation, used to detect organisations
 * over their share.
 */
final class OrganisationUsage {
  private static final double OVER_SHARE_FACTOR = 1.5;
  private static final double SLACK_TOKENS = 4_000;

  private final Map<String, Double> tokens = new HashMap<>();
  private double total;

  void add(QueuedRequest request) {
    total += request.costTokens();
    tokens.merge(request.request().organisation(), request.costTokens(), Double::sum);
  }

  void remove(QueuedRequest request) {
    total -= request.costTokens();
    String organisation = request.request().organisation();
    double remaining = tokens.getOrDefault(organisation, 0.0) - request.costTokens();
    if (remaining < 1) {
      tokens.remove(organisation);
    } else {
      tokens.put(organisation, remaining);
    }
  }

  /** Returns whether an organisation uses far more than the share given by its weight. */
  boolean isOverShare(String organisation, PoolRules rules) {
    double held = tokens.getOrDefault(organisation, 0.0);
    if (tokens.size() < 2 || held <= 0) {
      return false;
    }
    double weights = 0;
    for (String each : tokens.keySet()) {
      weights += rules.weightOf(each);
    }
    double share = total * rules.weightOf(organisation) / weights;
    return held > OVER_SHARE_FACTOR * share + SLACK_TOKENS;
  }
}
