package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.cuminrack.platform.PlatformFixture.KEY;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against responses whose status HTTP does not allow and that callers get as an answer of
 * the upstream.
 */
class InvalidStatusTest {
  private static final List<String> STATUSES =
      List.of(
          "000",
          "001",
          "020",
          "099",
          "101",
          "102",
          "103",
          "199",
          "600",
          "666",
          "999",
          "1000",
          "2000",
          "0200",
          "00200",
          "20",
          "2",
          "4294967496",
          "18446744073709551816",
          "-20",
          "+200",
          "2x0",
          "abc",
          "");

  private static final String PLAIN =
      response(
          """
          HTTP/1.1 %s Fine
          Attempt-Id: ID
          Server-Seal: seal
          Content-Length: 6

          answer""");

  private static final String WITHOUT_REASON = PLAIN.replace("Fine", "");
  private static final String UNFRAMED = PLAIN.replace("Content-Length: 6\r\n", "");
  private static final String AFTER_INTERIM = response("HTTP/1.1 100 Continue\n\n") + PLAIN;

  private static final String STREAM =
      response(
              """
          HTTP/1.1 %s Fine
          Attempt-Id: ID
          Server-Seal: seal
          Content-Type: text/event-stream
          Transfer-Encoding: chunked

          """)
          + "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

  @TempDir Path folder;
  private PlatformFixture platform;
  private FixedResponseUpstream shop;
  private FixedResponseUpstream engine;

  @BeforeEach
  void start() throws Exception {
    platform = PlatformFixture.start(folder);
    shop = new FixedResponseUpstream();
    engine = new FixedResponseUpstream();
    platform.announce("s-1", "shop", shop.address(), "dc-a", "ready", 1);
    platform.announce("e-1", "llm", engine.address(), "dc-a", "ready", 1);
    PlatformFixture.await(
        "the gateway to know the upstreams",
        () -> platform.dump().contains("\"s-1\"") && platform.dump().contains("\"e-1\""));
  }

  @AfterEach
  void stop() throws Exception {
    shop.close();
    engine.close();
    platform.close();
  }

  @Test
  void shouldNotForwardAPlainResponse() throws Exception {
    assertNotForwarded(shop, "/order/x", PLAIN);
  }

  @Test
  void shouldNotForwardAResponseWithoutAReasonPhrase() throws Exception {
    assertNotForwarded(shop, "/order/x", WITHOUT_REASON);
  }

  @Test
  void shouldNotForwardAnUnframedResponse() throws Exception {
    assertNotForwarded(shop, "/order/x", UNFRAMED);
  }

  @Test
  void shouldNotForwardAResponseAfterAnInterimOne() throws Exception {
    assertNotForwarded(shop, "/order/x", AFTER_INTERIM);
  }

  @Test
  void shouldNotForwardAStream() throws Exception {
    assertNotForwarded(engine, "/plan/x", STREAM);
  }

  @Test
  void shouldNotForwardAnUnframedResponseOfAnEngine() throws Exception {
    assertNotForwarded(engine, "/plan/x", UNFRAMED);
  }

  @Test
  void shouldForwardEachStatusThatIsAllowed() throws Exception {
    for (String status : List.of("200", "226", "299", "400", "418", "499", "500", "599")) {
      for (String response : List.of(PLAIN, WITHOUT_REASON, AFTER_INTERIM)) {
        String sent = response.formatted(status);
        shop.respondWith(sent);
        assertWithMessage(sent)
            .that(platform.call("a-" + status, "POST", "/order/x", KEY))
            .startsWith("HTTP/1.1 " + status + " ");
      }
    }
  }

  private static String response(String lines) {
    return lines.replace("\n", "\r\n");
  }

  private void assertNotForwarded(FixedResponseUpstream upstream, String path, String response)
      throws Exception {
    for (String status : STATUSES) {
      upstream.respondWith(response.formatted(status));

      String received = platform.call("a-1", "POST", path, KEY, "Token-Counts: 900,8");

      assertWithMessage("the answer to status '%s'", status)
          .that(received)
          .startsWith("HTTP/1.1 502 ");
      assertWithMessage("the answer to status '%s'", status).that(received).doesNotContain("seal");
    }
  }
}
