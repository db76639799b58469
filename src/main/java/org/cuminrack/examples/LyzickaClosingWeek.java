package org.cuminrack.examples;

import java.time.Duration;
import org.cuminrack.operator.Organisations;
import org.cuminrack.operator.Plan;
import org.cuminrack.operator.Rollouts;
import org.cuminrack.operator.Routes;
import org.cuminrack.operator.Services;

/** Prints the closing-week configuration of a shop for baby food subscriptions. */
public final class LyzickaClosingWeek {
  private static final Duration PLAN_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration SHOP_TIMEOUT = Duration.ofSeconds(5);

  private LyzickaClosingWeek() {}

  public static void main(String[] args) {
    System.out.print(plan().toYaml());
  }

  /**
   * Returns the configuration: one data centre is drained, and the rollout of the new planner is
   * paused until January.
   */
  public static Plan plan() {
    return Plan.empty()
        .with(Organisations.organisation("parents").weight(8).maxConcurrentRequests(400))
        .with(Organisations.organisation("clinics").weight(2))
        .with(Organisations.organisation("support").weight(1).maxConcurrentRequests(20))
        .with(Services.generations("meal-planner"))
        .with(Services.generations("label-checker").interactive())
        .with(Services.plain("shop"))
        .with(Routes.route("meal-planner").timeout(PLAN_TIMEOUT))
        .with(Routes.route("label-checker").timeout(SHOP_TIMEOUT))
        .with(Routes.route("shop").idempotent("GET", "HEAD").timeout(SHOP_TIMEOUT))
        .with(Rollouts.rollout("planner-4").of("planner", "4").on("meal-planner").paused())
        .drain("bratislava-2");
  }
}
