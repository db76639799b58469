package org.cuminrack.examples;

import java.time.Duration;
import org.cuminrack.operator.Organisations;
import org.cuminrack.operator.Plan;
import org.cuminrack.operator.Routes;
import org.cuminrack.operator.Services;

/** Prints the closing-week configuration of a co-operative's webshop. */
public final class KambaClosingWeek {
  private static final Duration DRAFT_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration SHOP_TIMEOUT = Duration.ofSeconds(5);
  private static final int MEMBERS = 8;

  private KambaClosingWeek() {}

  public static void main(String[] args) {
    System.out.print(plan().toYaml());
  }

  /** Returns the configuration: buyers have a higher weight than members; one engine is retired. */
  public static Plan plan() {
    Plan plan =
        Plan.empty()
            .with(Organisations.organisation("buyers").weight(10).maxConcurrentRequests(500))
            .with(Services.generations("assistant"))
            .with(Services.plain("shop"))
            .with(Routes.route("assistant").timeout(DRAFT_TIMEOUT))
            .with(Routes.route("shop").idempotent("GET", "HEAD").timeout(SHOP_TIMEOUT))
            .retire("assistant-13");
    for (int i = 1; i <= MEMBERS; i++) {
      plan.with(Organisations.organisation("member-" + i).maxConcurrentRequests(20));
    }
    return plan;
  }
}
