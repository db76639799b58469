package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.cuminrack.platform.HeldUpstream.Phase;
import org.cuminrack.system.CallerLeave;
import org.cuminrack.system.Conditions;
import org.cuminrack.system.TcpTable;
import org.cuminrack.system.TcpTable.State;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against upstreams that go on for callers that have left, as their connections stay. */
class GivenUpRequestTest {
  private static final Duration TARGET = Duration.ofMillis(100);

  /** Far above the target on a busy machine, and below the HTTP client's own wait for the peer. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private static final int REPETITIONS = 11;

  /** More than the sockets between a gateway and an upstream hold. */
  private static final int LARGE_BODY_BYTES = 4 << 20;

  private static final int LONG_DEADLINE_MILLIS = 15_000;
  private static final int DEADLINE_MILLIS = 600;

  /** Shorter than the gateway waits for a connection. */
  private static final int DEADLINE_WHILE_CONNECTING_MILLIS = 200;

  @TempDir static Path folder;
  private static PlatformFixture platform;
  private static HeldUpstream shop;
  private static HeldUpstream engine;
  private static int requests;

  @BeforeAll
  static void start() throws Exception {
    platform = PlatformFixture.start(folder);
    shop = new HeldUpstream();
    engine = new HeldUpstream();
    announce(platform, "s-1", "shop", shop);
    announce(platform, "e-1", "llm", engine);
  }

  @AfterAll
  static void stop() throws Exception {
    platform.close();
    shop.close();
    engine.close();
  }

  @AfterEach
  void acceptAgain() throws IOException {
    shop.acceptAgain();
    engine.acceptAgain();
  }

  private static void announce(
      PlatformFixture platform, String id, String service, HeldUpstream upstream) {
    platform.announce(id, service, upstream.address(), "dc-a", "ready", 1);
    PlatformFixture.await(
        "the gateway to know the upstream", () -> platform.dump().contains("\"" + id + "\""));
  }

  static Stream<Arguments> casesOfLeaving() {
    return Stream.of("/order/x", "/read/x", "/plan/x")
        .flatMap(
            path ->
                Arrays.stream(Phase.values())
                    .flatMap(
                        phase ->
                            Arrays.stream(CallerLeave.values())
                                .map(leave -> Arguments.of(path, phase, leave))));
  }

  @ParameterizedTest
  @MethodSource("casesOfLeaving")
  void shouldEndAllConnectionsOfARequestThatIsGivenUp(String path, Phase phase, CallerLeave leave)
      throws Exception {
    try (Socket caller = send(path, phase, leave)) {
      HeldUpstream upstream = upstreamOf(path);
      leave.leave(caller);

      awaitEnd(upstream);
      Conditions.await("the caller's connection to end", TIMEOUT, () -> isIdle());
      assertThat(upstream.readRest()).isLessThan((long) LARGE_BODY_BYTES / 4);
    }
  }

  @Test
  void shouldEndTheConnectionWithin100Millis() throws Exception {
    Duration[] delays = new Duration[REPETITIONS];
    for (int i = 0; i < REPETITIONS; i++) {
      try (Socket caller = send("/plan/x", Phase.NO_HEAD, CallerLeave.CLOSE)) {
        long startNanos = System.nanoTime();
        caller.close();
        delays[i] = Duration.ofNanos(engine.awaitEndNanos(TIMEOUT) - startNanos);
      }
    }
    Arrays.sort(delays);
    assertThat(delays[REPETITIONS / 2]).isLessThan(TARGET);
  }

  @Test
  void shouldEndTheConnectionOfARequestThatIsSentElsewhere() throws Exception {
    HeldUpstream second = new HeldUpstream();
    platform.announce("s-2", "shop", second.address(), "dc-a", "ready", 1);
    try (second;
        Socket caller = send("/read/x", Phase.NO_HEAD, CallerLeave.CLOSE)) {
      PlatformFixture.await(
          "both upstreams to hold the request", () -> shop.holdsRequest() && second.holdsRequest());
      Conditions.await(
          "the first connection to end",
          TIMEOUT,
          () -> shop.openSockets() + second.openSockets() == 1);
    } finally {
      platform.announce("s-2", "shop", second.address(), "dc-a", "draining", 2);
    }
  }

  @Test
  void shouldEndTheConnectionsOfAMoveThatIsGivenUp(@TempDir Path ownFolder) throws Exception {
    try (PlatformFixture own = PlatformFixture.start(ownFolder);
        HeldUpstream leaving = new HeldUpstream();
        HeldUpstream target = new HeldUpstream()) {
      leaving.hold(Phase.WITHIN_RESPONSE);
      announce(own, "e-1", "llm", leaving);
      try (Socket caller = open(own, "/plan/x", 0, LONG_DEADLINE_MILLIS)) {
        PlatformFixture.await("the stream to begin", leaving::holdsRequest);
        announce(own, "e-2", "llm", target);
        own.announce("e-1", "llm", leaving.address(), "dc-a", "draining", 2);
        PlatformFixture.await("the call that moves it", () -> leaving.heldRequests() == 2);

        caller.close();

        awaitEnd(leaving);
        assertThat(leaving.heldRequests() + target.heldRequests()).isEqualTo(2);
      }
    }
  }

  @Test
  void shouldNotSendARequestThatIsGivenUpInAQueue(@TempDir Path ownFolder) throws Exception {
    List<Socket> callers = new ArrayList<>();
    try (PlatformFixture own = PlatformFixture.start(ownFolder);
        HeldUpstream upstream = new HeldUpstream()) {
      announce(own, "e-1", "llm", upstream);
      while (!isWaiting(own)) {
        callers.add(open(own, "/plan/x", 0, LONG_DEADLINE_MILLIS));
        PlatformFixture.await(
            "the request to be held or to wait",
            () -> upstream.heldRequests() == callers.size() || isWaiting(own));
      }

      callers.remove(callers.size() - 1).close();
      PlatformFixture.await("the request to leave the queue", () -> !isWaiting(own));
      for (Socket caller : callers) {
        caller.close();
      }

      awaitEnd(upstream);
      PlatformFixture.await(
          "all requests to end", () -> own.metrics().contains("cuminrack_gateway_running 0.0"));
      assertThat(upstream.heldRequests()).isEqualTo(callers.size());
    }
  }

  private static boolean isWaiting(PlatformFixture platform) throws Exception {
    return platform.metrics().contains("cuminrack_gateway_waiting 1.0");
  }

  @Test
  void shouldEndTheConnectionWhenTheGatewayStops(@TempDir Path ownFolder) throws Exception {
    try (PlatformFixture stopping = PlatformFixture.start(ownFolder);
        HeldUpstream upstream = new HeldUpstream()) {
      announce(stopping, "e-1", "llm", upstream);
      try (Socket caller = open(stopping, "/plan/x", 0, LONG_DEADLINE_MILLIS)) {
        PlatformFixture.await("the upstream to hold the request", upstream::holdsRequest);

        stopping.beginStopOfGateway();

        awaitEnd(upstream);
        assertThat(caller.isClosed()).isFalse();
      }
    }
  }

  private static void awaitEnd(HeldUpstream upstream) {
    Conditions.await(
        "the upstream's connection to end", TIMEOUT, () -> upstream.openSockets() == 0);
  }

  private static HeldUpstream upstreamOf(String path) {
    return path.startsWith("/plan/") ? engine : shop;
  }

  /** Sends a request and waits until the upstream holds it in the phase. */
  private static Socket send(String path, Phase phase, CallerLeave leave) throws Exception {
    HeldUpstream upstream = upstreamOf(path);
    upstream.hold(phase);
    int deadlineMillis =
        leave != CallerLeave.DEADLINE
            ? LONG_DEADLINE_MILLIS
            : phase == Phase.CONNECTING ? DEADLINE_WHILE_CONNECTING_MILLIS : DEADLINE_MILLIS;
    Socket caller = open(platform, path, phase.readsBody() ? 0 : LARGE_BODY_BYTES, deadlineMillis);
    boolean mayEndBefore = leave == CallerLeave.DEADLINE;
    PlatformFixture.await(
        "the upstream to hold the request",
        () -> upstream.holdsRequest() || (mayEndBefore && caller.getInputStream().available() > 0));
    return caller;
  }

  private static Socket open(
      PlatformFixture platform, String path, int bodyBytes, int deadlineMillis) throws IOException {
    URI gateway = URI.create("http://" + platform.callerAddress());
    Socket caller = new Socket(InetAddress.getLoopbackAddress(), gateway.getPort());
    String head =
        """
        POST %s HTTP/1.1
        Host: shop.example
        Attempt-Id: c-%d
        Deadline-Ms: %d
        Token-Counts: 900,40
        Content-Length: %d
        Connection: close
        %s

        """;
    requests++;
    caller
        .getOutputStream()
        .write(
            head.formatted(path, requests, deadlineMillis, bodyBytes, PlatformFixture.KEY)
                .replace("\n", "\r\n")
                .getBytes(StandardCharsets.UTF_8));
    caller.getOutputStream().write(new byte[bodyBytes]);
    return caller;
  }

  /** Returns whether the gateway has no request and no connection of a caller that has left. */
  private static boolean isIdle() {
    int callerPort = URI.create("http://" + platform.callerAddress()).getPort();
    try {
      return platform.metrics().contains("cuminrack_gateway_running 0.0")
          && TcpTable.countAt(callerPort, State.CLOSE_WAIT) == 0;
    } catch (Exception e) {
      throw new AssertionError("expected the gateway's metrics", e);
    }
  }
}
