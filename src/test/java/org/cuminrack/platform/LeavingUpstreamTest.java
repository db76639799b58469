package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One of eight upstreams says in its answers, but not in its announcements, that it leaves. */
@Tag("process")
class LeavingUpstreamTest {
  private static final Duration LOAD_TIME = Duration.ofSeconds(5);

  /** Time from the first such answer until no gateway sends requests there any more. */
  private static final Duration DRAIN_TIME = Duration.ofSeconds(2);

  private static final int REQUESTS_PER_SECOND = 40;
  private static final double MIN_SERVED_SHARE = 0.8;

  @TempDir Path folder;
  private GatewayCluster cluster;
  private CallerLoad load;

  @BeforeEach
  void start() throws Exception {
    cluster = GatewayCluster.start(folder, 3, 8);
    load = new CallerLoad(cluster);
  }

  @AfterEach
  void stop() throws Exception {
    load.close();
    cluster.close();
  }

  @Test
  void shouldSendNoMoreCallsToAnUpstreamThatSaysInAnAnswerThatItLeaves() throws Exception {
    CrashingUpstream shop = cluster.upstreams("shop").get(0);
    shop.extraHeaders = "Server-Leaving: 1\n";

    List<CallerLoad.Outcome> outcomes = send("POST", "/order/");

    assertNoRequestsAfterDrainTime(shop);
    assertServed(outcomes);
  }

  @Test
  void shouldSendNoMoreGenerationsToAnEngineThatSaysInAStreamThatItLeaves() throws Exception {
    CrashingUpstream engine = cluster.upstreams("llm").get(0);
    engine.extraHeaders = "Server-Leaving: 1\n";

    List<CallerLoad.Outcome> outcomes = send("POST", "/plan/");

    assertNoRequestsAfterDrainTime(engine);
    assertServed(outcomes);
  }

  @Test
  void shouldSendNoMoreCallsToAnUpstreamThatSaysSoWhileItTurnsRequestsAway() throws Exception {
    CrashingUpstream shop = cluster.upstreams("shop").get(0);
    shop.turnsAway = true;
    shop.extraHeaders = "Server-Leaving: 1\n";

    List<CallerLoad.Outcome> outcomes = send("GET", "/read/");

    assertNoRequestsAfterDrainTime(shop);
    assertServed(outcomes);
  }

  @Test
  void shouldTellTheOtherGatewaysOfAnUpstreamThatLeaves() throws Exception {
    CrashingUpstream shop = cluster.upstreams("shop").get(0);
    shop.extraHeaders = "Server-Leaving: 1\n";
    for (int i = 0; shop.arrivals.isEmpty(); i++) {
      cluster.call("gateway-1", "a-" + i, "GET", "/read/" + i);
    }
    int before = shop.arrivals.size();
    for (int i = 0; i < 20; i++) {
      cluster.call("gateway-1", "b-" + i, "GET", "/read/b-" + i);
    }
    for (String other : List.of("gateway-2", "gateway-3")) {
      cluster.call(other, "c-" + other, "GET", "/read/" + other);
      PlatformFixture.await(
          other + " to learn that the upstream leaves",
          () -> cluster.process(other).logText().contains("event=upstream-leaving upstream=s1-1"));
    }

    List<CallerLoad.Outcome> outcomes = send("GET", "/read/");

    assertThat(shop.arrivals).hasSize(before);
    assertServed(outcomes);
  }

  @Test
  void shouldUseALeavingUpstreamAgainAfterItsNextStart() throws Exception {
    CrashingUpstream shop = cluster.upstreams("shop").get(0);
    shop.extraHeaders = "Server-Leaving: 1\n";
    send("GET", "/read/");
    shop.crash();
    shop.extraHeaders = "";
    cluster.recover();
    int before = shop.arrivals.size();

    List<CallerLoad.Outcome> outcomes = send("GET", "/read/");

    double equalShare = REQUESTS_PER_SECOND * LOAD_TIME.toSeconds() / 8.0;
    assertThat((double) (shop.arrivals.size() - before)).isAtLeast(equalShare / 2);
    assertServed(outcomes);
  }

  private List<CallerLoad.Outcome> send(String method, String pathPrefix) {
    return load.send(method, pathPrefix, REQUESTS_PER_SECOND, LOAD_TIME, 1);
  }

  private static void assertNoRequestsAfterDrainTime(CrashingUpstream upstream) {
    assertThat(upstream.arrivals).isNotEmpty();
    long endNanos = upstream.arrivals.get(0).nanos() + DRAIN_TIME.toNanos();
    assertWithMessage("requests later than %s after the first answer", DRAIN_TIME)
        .that(upstream.arrivals.stream().filter(each -> each.nanos() > endNanos).toList())
        .isEmpty();
  }

  private static void assertServed(List<CallerLoad.Outcome> outcomes) {
    long served = outcomes.stream().filter(CallerLoad.Outcome::isServed).count();
    assertThat((double) served / outcomes.size()).isAtLeast(MIN_SERVED_SHARE);
  }
}
