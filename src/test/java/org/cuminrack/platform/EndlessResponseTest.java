package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.cuminrack.platform.PlatformFixture.KEY;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An upstream in trouble sends bytes without end; the gateway has to close the connection. */
class EndlessResponseTest {
  private static final String OK_HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n";

  /** The largest response that a gateway keeps, and what sockets on loopback keep beside it. */
  private static final long MAX_SENT_BYTES = 16 << 20;

  @TempDir Path folder;
  private PlatformFixture platform;

  @BeforeEach
  void start() throws Exception {
    platform = PlatformFixture.start(folder);
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
  }

  @Test
  void shouldCloseABodyWithoutEnd() throws Exception {
    assertClosed("/read/x", OK_HEAD + "\r\n", "x");
  }

  @Test
  void shouldCloseAHeaderWithoutEnd() throws Exception {
    assertClosed("/read/x", OK_HEAD + "Name: ", "x");
  }

  @Test
  void shouldCloseHeadersWithoutEnd() throws Exception {
    assertClosed("/read/x", OK_HEAD, "Name: value\r\n");
  }

  @Test
  void shouldCloseAReasonPhraseWithoutEnd() throws Exception {
    assertClosed("/read/x", "HTTP/1.1 200 ", "x");
  }

  @Test
  void shouldCloseInterimResponsesWithoutEnd() throws Exception {
    assertClosed("/read/x", "", "HTTP/1.1 100 Continue\r\n\r\n");
  }

  @Test
  void shouldCloseBytesThatAreNoResponse() throws Exception {
    assertClosed("/read/x", "", "x");
  }

  @Test
  void shouldCloseAChunkSizeWithoutEnd() throws Exception {
    assertClosed("/read/x", OK_HEAD + "Transfer-Encoding: chunked\r\n\r\n1;", "x");
  }

  @Test
  void shouldCloseTrailersWithoutEnd() throws Exception {
    assertClosed("/read/x", OK_HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n");
  }

  @Test
  void shouldCloseAnErrorOfAnEngineWithoutEnd() throws Exception {
    assertClosed("/plan/x", "HTTP/1.1 500 Error\r\nAttempt-Id: ID\r\n\r\n", "x");
  }

  @Test
  void shouldCloseAnEventWithoutEnd() throws Exception {
    assertClosed("/plan/x", OK_HEAD + "Content-Type: text/event-stream\r\n\r\n", "x");
  }

  @Test
  void shouldCloseEmptyLinesWithoutEnd() throws Exception {
    assertClosed("/plan/x", OK_HEAD + "Content-Type: text/event-stream\r\n\r\n", "\n");
  }

  /**
   * Sends a request to an upstream that answers without end, and expects the gateway to close the
   * connection, to fail the request, and to serve the next one.
   */
  private void assertClosed(String path, String start, String repeated) throws Exception {
    String service = path.startsWith("/plan/") ? "llm" : "shop";
    try (EndlessUpstream endless = new EndlessUpstream(start, repeated)) {
      platform.announce("i-1", service, endless.address(), "dc-a", "ready", 1);
      PlatformFixture.await(
          "the gateway to know the upstream", () -> platform.dump().contains("\"i-1\""));

      String response = platform.call("a-1", "GET", path, KEY, "Token-Counts: 900,400");

      assertThat(response).doesNotContainMatch("(?s)^HTTP/1.1 2.*\r\n0\r\n\r\n$");
      assertWithMessage("the gateway closes the connection")
          .that(endless.closedByClient().await(5, TimeUnit.SECONDS))
          .isTrue();
      assertThat(endless.sentBytes()).isAtMost(MAX_SENT_BYTES);
    }
    FakeUpstream good = platform.startUpstream();
    platform.announce("i-2", "shop", good, "dc-a", "ready", 1);
    PlatformFixture.await(
        "the next request to be served",
        () -> platform.call("a-2", "GET", "/read/y", KEY).startsWith("HTTP/1.1 200 "));
  }
}
