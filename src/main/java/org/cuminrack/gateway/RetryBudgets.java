package org.cuminrack.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.cuminrack.pool.RetryBudget;

/**
 * This gateway's share of each service's retry budget. Each gateway gets an equal share of the
 * slack and earns the rest from its own requests, so that all gateways together stay within the
 * limit without coordination. Thread-safe: one lock.
 */
final class RetryBudgets {
  /**
   * Half of the limit, because a full budget can be spent just before and again just after the end
   * of a window over which the limit is checked.
   */
  private static final double USABLE_BUDGET_SHARE = 0.5;

  private final GatewaySettings settings;
  private final IntSupplier gateways;
  private final Map<String, RetryBudget> budgets = new HashMap<>();

  RetryBudgets(GatewaySettings settings, IntSupplier gateways) {
    this.settings = settings;
    this.gateways = gateways;
  }

  synchronized void recordFirstAttempt(String service) {
    budget(service).tryAcquire(1);
  }

  synchronized boolean allowsRetry(String service) {
    return budget(service).tryAcquire(2);
  }

  private RetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        key -> {
          double slack =
              USABLE_BUDGET_SHARE * settings.retrySlack() / Math.max(1, gateways.getAsInt());
          return new RetryBudget(settings.retryShare() * USABLE_BUDGET_SHARE, slack, slack);
        });
  }
}
