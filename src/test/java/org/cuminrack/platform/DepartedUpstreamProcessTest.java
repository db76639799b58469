package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
class DepartedUpstreamProcessTest {
  private static final String GATEWAY = "gateway-1";
  private static final long STARTED_MILLIS = 1_796_000_000_000L;

  @TempDir Path folder;
  private GatewayCluster cluster;
  private CrashingUpstream leaving;
  private CrashingUpstream staying;

  @BeforeEach
  void start() throws Exception {
    cluster = GatewayCluster.start(folder, 1, 2);
    List<CrashingUpstream> shops = cluster.upstreams("shop");
    leaving = shops.get(0);
    staying = shops.get(1);
  }

  @AfterEach
  void stop() throws Exception {
    cluster.close();
  }

  /** Guards against acknowledged departures that are kept in the memory of processes only. */
  @Test
  void shouldNotUseAnUpstreamThatLeftAfterAllProcessesWereKilledTwice() throws Exception {
    cluster.announce(leaving, STARTED_MILLIS, 1);
    cluster.leave(leaving, STARTED_MILLIS);
    int before = leaving.arrivals.size();

    for (int restart = 1; restart <= 2; restart++) {
      cluster.restartAll();
      cluster.announce(leaving, STARTED_MILLIS, 2);
      cluster.announce(staying, STARTED_MILLIS, restart);
      cluster.awaitKnown(GATEWAY, staying);
      assertServed("restart-" + restart);
    }

    assertThat(leaving.arrivals).hasSize(before);
    cluster.announce(leaving, STARTED_MILLIS + 1, 1);
    PlatformFixture.await(
        "the gateway to know the new start",
        () -> cluster.dump(GATEWAY).contains(Long.toString(STARTED_MILLIS + 1)));
    cluster.leave(staying, STARTED_MILLIS);
    assertServed("new-start");
    assertThat(leaving.arrivals.size()).isGreaterThan(before);
  }

  private void assertServed(String name) throws Exception {
    for (int i = 0; i < 20; i++) {
      String id = name + "-" + i;
      assertThat(cluster.call(GATEWAY, id, "GET", "/read/" + id)).startsWith("HTTP/1.1 200 ");
    }
  }
}
