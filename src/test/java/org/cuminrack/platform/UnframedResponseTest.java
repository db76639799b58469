package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.system.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Upstreams answer with neither a length nor chunks: the end of the connection ends the answer. */
class UnframedResponseTest {
  private static final String LAST_CHUNK = "0\r\n\r\n";

  @TempDir Path folder;
  private PlatformFixture platform;
  private CrashingUpstream shop;
  private CrashingUpstream engine;

  @BeforeEach
  void start() throws Exception {
    platform = PlatformFixture.start(folder);
    shop = new CrashingUpstream("s", FreePorts.port());
    engine = new CrashingUpstream("e", FreePorts.port());
    announce("ready", 1);
  }

  @AfterEach
  void stop() throws Exception {
    shop.close();
    engine.close();
    platform.close();
  }

  @Test
  void shouldForwardAPlainResponse() throws Exception {
    assertThat(call("POST", "/order/unframed")).endsWith("part one, part two");
  }

  @Test
  void shouldForwardAStream() throws Exception {
    String response = call("POST", "/plan/unframed");

    assertThat(response).contains("id: 2\ndata: t\n\n");
    assertThat(response).endsWith(LAST_CHUNK);
  }

  @Test
  void shouldNotForwardAPlainResponseThatEndedWithItsUpstream() throws Exception {
    assertThat(call("POST", "/order/unframed-midway-end")).startsWith("HTTP/1.1 502 ");
  }

  @Test
  void shouldNotForwardAPlainResponseWhoseUpstreamStillAcceptedAConnectionAsItEnded()
      throws Exception {
    assertThat(call("POST", "/order/unframed-midway-linger")).startsWith("HTTP/1.1 502 ");
  }

  @Test
  void shouldBreakOffAStreamThatEndedWithItsEngineBetweenTwoEvents() throws Exception {
    String response = call("POST", "/plan/unframed-midway-end");

    assertThat(response).contains("id: 1\ndata: t\n\n");
    assertThat(response).doesNotContain(LAST_CHUNK);
  }

  @Test
  void shouldBreakOffAStreamThatEndsInsideAnEvent() throws Exception {
    String response = call("POST", "/plan/unframed-inside");

    assertThat(response).contains("id: 1\ndata: t\n\n");
    assertThat(response).doesNotContain("id: 2");
    assertThat(response).doesNotContain(LAST_CHUNK);
  }

  @Test
  void shouldForwardTheLastResponseOfAnUpstreamThatLeavesAndStillListens() throws Exception {
    assertThat(callWhileLeaving(shop, "/order/unframed-held")).endsWith("part one, part two");
  }

  /** Guards against half an answer of an upstream that leaves and ends in the middle of it. */
  @Test
  void shouldNotForwardAPlainResponseThatEndedWithAnUpstreamThatLeaves() throws Exception {
    assertThat(callWhileLeaving(shop, "/order/unframed-held-midway-end"))
        .startsWith("HTTP/1.1 502 ");
  }

  /**
   * Guards against a stream that looks complete when its engine leaves before the stream is moved.
   */
  @Test
  void shouldBreakOffAStreamThatEndedWithAnEngineThatLeaves() throws Exception {
    String response = callWhileLeaving(engine, "/plan/unframed-held-midway-end");

    assertThat(response).contains("id: 1\ndata: t\n\n");
    assertThat(response).doesNotContain(LAST_CHUNK);
  }

  /** Guards against a stream that looks complete to callers whose answers aren't framed either. */
  @Test
  void shouldResetTheConnectionOfAnHttp10CallerWhoseStreamIsBrokenOff() throws Exception {
    URI gateway = URI.create("http://" + platform.callerAddress());
    try (Socket caller = new Socket(gateway.getHost(), gateway.getPort())) {
      String request =
          """
          POST /plan/unframed-midway-end HTTP/1.0
          Host: shop.example
          Attempt-Id: c-10
          %s
          Content-Length: 0

          """;
      caller
          .getOutputStream()
          .write(request.formatted(PlatformFixture.KEY).replace("\n", "\r\n").getBytes(US_ASCII));

      assertThrows(SocketException.class, () -> caller.getInputStream().readAllBytes());
    }
  }

  /** Returns the response to a request that the upstream answers after it began to leave. */
  private String callWhileLeaving(CrashingUpstream upstream, String path) throws Exception {
    upstream.hold();
    CompletableFuture<String> response =
        CompletableFuture.supplyAsync(() -> callUnchecked("POST", path));
    PlatformFixture.await("the request to run", () -> upstream.heldRequests() > 0);
    announce("draining", 2);
    PlatformFixture.await(
        "the gateway to know that the upstreams leave",
        () -> platform.dump().split("DRAINING", -1).length > 2);

    upstream.releaseHeld();

    return response.join();
  }

  private void announce(String state, int sequence) {
    platform.announce("s-1", "shop", shop.address(), "dc-a", state, sequence);
    platform.announce("e-1", "llm", engine.address(), "dc-a", state, sequence);
    PlatformFixture.await(
        "the gateway to know the upstreams",
        () -> platform.dump().contains("s-1") && platform.dump().contains("e-1"));
  }

  private String call(String method, String path) throws Exception {
    return platform.call(
        "c-" + path.hashCode(),
        method,
        path,
        PlatformFixture.KEY,
        "Deadline-Ms: 5000",
        "Token-Counts: 900,40");
  }

  private String callUnchecked(String method, String path) {
    try {
      return call(method, path);
    } catch (Exception e) {
      throw new AssertionError(method + " " + path, e);
    }
  }
}
