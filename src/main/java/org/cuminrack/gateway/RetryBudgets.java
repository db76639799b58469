package org.cuminrack.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.cuminrack.pool.RetryBudget;

/**
 * This gateway's part of each service's retry budget. Each gateway takes its share of the slack and
 * earns the rest from its own requests, so that the sum over all stays within the bound without a
 * message. Safe for use by many threads: one lock.
 */
final class RetryBudgets {
  /** A full budget may be spent on either side of a window's border. */
  private static final double SLACK_IN_USE = 0.5;

  private final GatewaySettings settings;
  private final IntSupplier gateways;
  private final Map<String, RetryBudget> budgets = new HashMap<>();

  RetryBudgets(GatewaySettings settings, IntSupplier gateways) {
    this.settings = settings;
    this.gateways = gateways;
  }

  synchronized void countFirst(String service) {
    budget(service).allows(1);
  }

  synchronized boolean allowsRepeat(String service) {
    return budget(service).allows(2);
  }

  private RetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        key -> {
          double slack = SLACK_IN_USE * settings.retrySlack() / Math.max(1, gateways.getAsInt());
          return new RetryBudget(settings.retryShare() * SLACK_IN_USE, slack, slack);
        });
  }
}
