package org.cuminrack.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RoutingTableTest {
  private static final CallerLimits LIMITS =
      new CallerLimits(1024, 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

  @Test
  void shouldMatchTheLongestPrefix() {
    RoutingTable table = table(route("short", "/a/"), route("long", "/a/b/"));

    assertThat(table.route("shop.example", "/a/b/c").get().name()).isEqualTo("long");
    assertThat(table.route("shop.example", "/a/c").get().name()).isEqualTo("short");
  }

  @Test
  void shouldMatchCompletePathSegmentsOnly() {
    RoutingTable table = table(route("only", "/a/b/"));

    assertThat(table.route("shop.example", "/a/bc/d")).isEmpty();
    assertThat(table.route("shop.example", "/a/b")).isEmpty();
  }

  @Test
  void shouldMatchTheRootPrefix() {
    assertThat(table(route("root", "/")).route("shop.example", "/x").get().name())
        .isEqualTo("root");
  }

  @Test
  void shouldIgnorePortAndCaseOfTheHost() {
    assertThat(table(route("only", "/a/")).route("Shop.Example:8080", "/a/x")).isPresent();
  }

  @Test
  void shouldFindNoRouteOfAnotherHost() {
    assertThat(table(route("only", "/a/")).route("other.example", "/a/x")).isEmpty();
  }

  @Test
  void shouldSplitByWeight() {
    HttpRoute route =
        route(
            "split", "/", List.of(new WeightedService("big", 9), new WeightedService("small", 1)));

    assertThat(route.serviceAt(0)).isEqualTo("big");
    assertThat(route.serviceAt(0.89)).isEqualTo("big");
    assertThat(route.serviceAt(0.91)).isEqualTo("small");
  }

  @Test
  void shouldNeverChooseAServiceOfWeightZero() {
    HttpRoute route =
        route("split", "/", List.of(new WeightedService("none", 0), new WeightedService("all", 5)));

    assertThat(route.serviceAt(0)).isEqualTo("all");
    assertThat(route.serviceAt(0.999)).isEqualTo("all");
  }

  private static RoutingTable table(HttpRoute... routes) {
    return new RoutingTable(1, List.of(routes), Map.of(), Optional.empty(), LIMITS);
  }

  private static HttpRoute route(String name, String prefix) {
    return route(name, prefix, List.of(new WeightedService("shop", 1)));
  }

  private static HttpRoute route(String name, String prefix, List<WeightedService> services) {
    return new HttpRoute(
        name,
        "shop.example",
        prefix,
        RequestKind.IDEMPOTENT,
        Duration.ofSeconds(1),
        Duration.ofMillis(200),
        Optional.empty(),
        0,
        services,
        1,
        false);
  }
}
