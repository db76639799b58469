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
  private final IntSupplier gatewayCount;
  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private int mostGateways = 1;

  RetryBudgets(GatewaySettings settings, IntSupplier gatewayCount) {
    this.settings = settings;
    this.gatewayCount = gatewayCount;
  }

  /** Adds the share of retries that a request's first attempt earns to a service's budget. */
  synchronized void recordFirstAttempt(String service) {
    budget(service).tryAcquire(1);
  }

  /** Takes one retry from a service's budget; returns false if the budget is exhausted. */
  synchronized boolean tryAcquireRetry(String service) {
    return budget(service).tryAcquire(2);
  }

  private RetryBudget budget(String service) {
    // Right after a start of control, a gateway hears of the others one by one.
    mostGateways = Math.max(mostGateways, gatewayCount.getAsInt());
    double slack = USABLE_BUDGET_SHARE * settings.retrySlack() / mostGateways;
    RetryBudget budget =
        budgets.computeIfAbsent(
            service,
            key -> new RetryBudget(settings.retryShare() * USABLE_BUDGET_SHARE, slack, slack));
    budget.limitTo(slack);
    return budget;
  }
}
