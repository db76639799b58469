package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.cuminrack.system.RunningProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against gateways that serve nothing while they are cut off from all upstreams. */
@Tag("process")
class PartitionedGatewayTest {
  private static final int GATEWAYS = 3;

  /** Time from the begin of a cut until its callers have to be served. */
  private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

  private static final Duration LOAD_TIME = Duration.ofSeconds(4);
  private static final int REQUESTS_PER_SECOND = 30;

  @TempDir Path folder;
  private GatewayCluster cluster;

  @BeforeEach
  void start() throws Exception {
    cluster = GatewayCluster.start(folder, GATEWAYS);
  }

  @AfterEach
  void stop() throws Exception {
    cluster.close();
  }

  @Test
  void shouldServeCallersOfAGatewayThatReachesNoUpstream() {
    RunningProcess cut = cluster.process(cluster.gateways().get(0));
    for (String service : List.of("shop", "llm")) {
      for (CrashingUpstream upstream : cluster.upstreams(service)) {
        upstream.resets = connection -> cut.owns(connection.getPort(), connection.getLocalPort());
      }
    }
    for (String path : List.of("/read/", "/order/", "/plan/")) {
      assertServedAsOftenAsOthers(path);
    }
  }

  private void assertServedAsOftenAsOthers(String path) {
    String method = path.equals("/read/") ? "GET" : "POST";
    try (CallerLoad callers = new CallerLoad(cluster)) {
      callers.send(method, path, REQUESTS_PER_SECOND, CONTACT_TIME, 1);
      List<CallerLoad.Outcome> outcomes =
          callers.send(method, path, REQUESTS_PER_SECOND, LOAD_TIME, 1);

      double ofCut = servedShare(outcomes, 0);
      double ofOthers = (servedShare(outcomes, 1) + servedShare(outcomes, 2)) / 2;
      assertWithMessage(
              "share of %s served by the gateway that is cut off, others %s", path, ofOthers)
          .that(ofCut)
          .isAtLeast(ofOthers * 2 / 3);
    }
  }

  /** Returns the share of first attempts served at one gateway; they go to all in turn. */
  private static double servedShare(List<CallerLoad.Outcome> outcomes, int gateway) {
    return IntStream.range(0, outcomes.size())
        .filter(i -> i % GATEWAYS == gateway)
        .mapToObj(outcomes::get)
        .mapToInt(outcome -> outcome.isServed() ? 1 : 0)
        .average()
        .orElse(0);
  }
}
