package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class LoadTableTest {
  private final ManualClock clock = new ManualClock();
  private final LoadTable loads = new LoadTable(clock);

  @Test
  void shouldAddTheLoadOfOtherGateways() {
    loads.add("i-1", new UpstreamLoad(1, 100, 10));
    loads.replaceRemote("gateway-2", Map.of("i-1", new UpstreamLoad(2, 300, 0)));

    assertThat(loads.total("i-1")).isEqualTo(new UpstreamLoad(3, 400, 10));
  }

  @Test
  void shouldExpireTheLoadOfASilentGateway() {
    loads.replaceRemote("gateway-2", Map.of("i-1", new UpstreamLoad(2, 300, 0)));
    clock.advance(Duration.ofSeconds(3));

    assertThat(loads.total("i-1")).isEqualTo(UpstreamLoad.NONE);
  }

  @Test
  void shouldRemoveAnUpstreamWithoutLoad() {
    loads.add("i-1", new UpstreamLoad(1, 100, 0));
    loads.add("i-1", new UpstreamLoad(-1, -100, 0));

    assertThat(loads.ownLoads()).isEmpty();
  }
}
