package org.cuminrack.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * The predicted tokens of the running requests of each organisation, used to detect organisations
 * over their share.
 */
final class OrganisationUsage {
  private static final double OVER_SHARE_FACTOR = 1.5;
  private static final double OVER_SHARE_SLACK_TOKENS = 4_000;

  private final Map<String, Double> tokensByOrganisation = new HashMap<>();
  private double totalTokens;

  void add(QueuedRequest request) {
    totalTokens += request.costTokens();
    tokensByOrganisation.merge(request.request().organisation(), request.costTokens(), Double::sum);
  }

  void remove(QueuedRequest request) {
    totalTokens -= request.costTokens();
    String organisation = request.request().organisation();
    double remainingTokens =
        tokensByOrganisation.getOrDefault(organisation, 0.0) - request.costTokens();
    if (remainingTokens < 1) {
      tokensByOrganisation.remove(organisation);
    } else {
      tokensByOrganisation.put(organisation, remainingTokens);
    }
  }

  /** Returns whether an organisation uses far more than the share given by its weight. */
  boolean isOverShare(String organisation, PoolRules rules) {
    double usedTokens = tokensByOrganisation.getOrDefault(organisation, 0.0);
    if (tokensByOrganisation.size() < 2 || usedTokens <= 0) {
      return false;
    }
    double totalWeight = 0;
    for (String each : tokensByOrganisation.keySet()) {
      totalWeight += rules.weightOf(each);
    }
    double shareTokens = totalTokens * rules.weightOf(organisation) / totalWeight;
    return usedTokens > OVER_SHARE_FACTOR * shareTokens + OVER_SHARE_SLACK_TOKENS;
  }
}
