package org.cuminrack.operator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class PlanTest {

  private static Plan plan() {
    return Plan.empty()
        .with(Routes.route("shop").idempotent("GET", "HEAD").timeout(Duration.ofSeconds(10)))
        .with(Routes.route("planner").to("meal-planner"))
        .with(Services.plain("shop"))
        .with(Services.generations("meal-planner"))
        .with(Organisations.organisation("app").weight(4))
        .with(Rollouts.rollout("planner-4").of("planner", "4").on("meal-planner"))
        .retire("engine-3")
        .drain("dc-b");
  }

  @Test
  void shouldPrintObjectsOrderedByKindAndName() {
    assertThat(plan().toYaml())
        .isEqualTo(
            """
            organisations:
              - name: app
                weight: 4
                max_concurrent_requests: 256
            services:
              - name: meal-planner
                service_kind: generation
                interactive: false
              - name: shop
                service_kind: plain
                interactive: false
            routes:
              - name: planner
                service: meal-planner
                idempotent_methods: []
                timeout_millis: 30000
                max_body_bytes: 262144
              - name: shop
                service: shop
                idempotent_methods:
                  - GET
                  - HEAD
                timeout_millis: 10000
                max_body_bytes: 262144
            data_centres:
              - name: dc-b
                drained: true
            upstreams:
              - name: engine-3
                retired: true
            rollouts:
              - name: planner-4
                service: meal-planner
                model: planner
                version: "4"
                max_unavailable: 1
                paused: false
            """);
  }

  @Test
  void shouldPrintYamlThatParsesToTheSameObjects() {
    assertThat(ConfigurationFile.parse("plan.yaml", plan().toYaml()).get())
        .containsExactlyElementsIn(plan().objects())
        .inOrder();
  }

  @Test
  void shouldReportWhichArgumentIsInvalid() {
    IllegalArgumentException error =
        assertThrows(IllegalArgumentException.class, () -> Routes.route("shop").to("The Shop"));

    assertThat(error).hasMessageThat().startsWith("service: expected a name");
  }

  @Test
  void shouldRejectAWeightOutOfRange() {
    IllegalArgumentException error =
        assertThrows(
            IllegalArgumentException.class, () -> Organisations.organisation("a").weight(0));

    assertThat(error)
        .hasMessageThat()
        .isEqualTo("weight: expected a number from 1 to 1000, found 0");
  }
}
