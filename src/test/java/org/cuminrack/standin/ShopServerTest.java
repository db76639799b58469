package org.cuminrack.standin;

import static com.google.common.truth.Truth.assertThat;

import io.undertow.util.Methods;
import java.util.List;
import java.util.Map;
import org.cuminrack.http.HttpCall;
import org.cuminrack.http.HttpResponse;
import org.cuminrack.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ShopServerTest {
  private ShopServer shop;
  private HttpProbe probe;

  @BeforeEach
  void setUp() {
    ShopOptions options = ShopOptions.of("shop-1", "dc-a", "shop", List.of());
    shop = ShopServer.of(options, Clock.system(), () -> {});
    shop.start();
    probe = new HttpProbe(shop.address());
  }

  @AfterEach
  void tearDown() {
    probe.close();
    shop.stop();
  }

  @Test
  void shouldCountEveryExecutionByItsKey() {
    probe.send(order("k-1"));
    probe.send(order("k-1"));

    HttpResponse response = probe.send(order("k-2")).get();

    assertThat(response.text()).contains("\"executions\":1");
    assertThat(shop.executions()).containsExactly("k-1", 2, "k-2", 1);
    assertThat(probe.get("/stand-in/executions").text()).contains("{\"k-1\":2,\"k-2\":1}");
  }

  @Test
  void shouldExecuteNothingForALookUp() {
    HttpResponse response = probe.get("/shop/stock/17");

    assertThat(response.status()).isEqualTo(200);
    assertThat(shop.executions()).isEmpty();
  }

  @Test
  void shouldExecuteButDropTheResponseWhenConfigured() {
    probe.post("/stand-in/behaviour", Map.of("drop_answers", true));

    assertThat(probe.send(order("k-1")).isLeft()).isTrue();

    assertThat(shop.executions()).containsExactly("k-1", 1);
  }

  @Test
  void shouldEchoTheRequestIdUnlessResponsesAreCrossed() {
    HttpResponse response = probe.send(order("k-1").withHeader("X-Request-Id", "r-1")).get();
    assertThat(response.headers().getFirst("X-Request-Id")).isEqualTo("r-1");

    probe.post("/stand-in/behaviour", Map.of("crossed", true));

    HttpResponse crossed = probe.send(order("k-2").withHeader("X-Request-Id", "r-2")).get();
    assertThat(crossed.headers().getFirst("X-Request-Id")).isNotEqualTo("r-2");
  }

  private HttpCall order(String key) {
    return probe
        .call(Methods.POST, "/shop/orders")
        .withHeader("Idempotency-Key", key)
        .withJson(Map.of("item", 1));
  }
}
