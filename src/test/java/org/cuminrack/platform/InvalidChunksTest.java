package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.cuminrack.platform.PlatformFixture.KEY;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against bodies that callers get as complete though the chunks in which the upstream sent
 * them are not valid, so that a part is missing or the framing is taken for a part.
 */
class InvalidChunksTest {
  private static final String HEAD =
      "HTTP/1.1 200 Fine\r\nAttempt-Id: ID\r\nServer-Seal: seal\r\nTransfer-Encoding: chunked\r\n";

  private static final String PLAIN_HEAD = HEAD + "\r\n";
  private static final String STREAM_HEAD = HEAD + "Content-Type: text/event-stream\r\n\r\n";
  private static final String EVENT = "id: 2\ndata: b\n\n";
  private static final String FIRST_EVENT = "f\r\nid: 1\ndata: a\n\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  /** What may stand for the size 6. */
  private static final List<String> INVALID_SIZES =
      List.of(
          "",
          "x",
          "6x",
          "x6",
          "-6",
          "+6",
          "0x6",
          " 6",
          "6 6",
          "6=1",
          "6,",
          "6\u0000",
          "6\r",
          "\u00b6",
          "6\u00006",
          "6;\u0000",
          "6;name=\u0001",
          "0000000000000006");

  private static final List<String> INVALID_ENDS_OF_DATA =
      List.of("", "x", "\r", "\n", "xx", "\rx", "x\r\n", " \r\n", "\r\n\r\n");

  private static final List<String> INVALID_LAST_LINES =
      List.of("", "x", "\r", "\rx", "\r\r", "x\r\n");

  private static final List<String> INVALID_TRAILERS =
      List.of(
          "Spoilt",
          "Spoilt name: 1",
          "Spoilt : 1",
          " Spoilt: 1",
          "Spo\u0000ilt: 1",
          ": 1",
          "a: \u0000");

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
  void shouldNotCompleteAPlainResponse() throws Exception {
    assertNotComplete(shop, "/order/x", invalidBodies("answer").map(body -> PLAIN_HEAD + body));
  }

  @Test
  void shouldNotCompleteAStreamWithAnInvalidFirstChunk() throws Exception {
    assertNotComplete(engine, "/plan/x", invalidBodies(EVENT).map(body -> STREAM_HEAD + body));
  }

  @Test
  void shouldNotCompleteAStreamAfterItsFirstEvent() throws Exception {
    assertNotComplete(
        engine, "/plan/x", invalidBodies(EVENT).map(body -> STREAM_HEAD + FIRST_EVENT + body));
  }

  @Test
  void shouldForwardChunksThatAreValid() throws Exception {
    List<String> bodies =
        List.of(
            "6\r\nanswer\r\n0\r\n\r\n",
            "1\r\na\r\n00005\r\nnswer\r\n000\r\n\r\n",
            "6 \t\r\nanswer\r\n0 \r\n\r\n",
            "6;name=\"value\t\u00e9\"\r\nanswer\r\n0;name\r\n\r\n",
            "6\r\nanswer\r\n0\r\nTrailer: 1\r\nContent-Length: 3\r\n\r\n");
    for (String body : bodies) {
      shop.respondWith(PLAIN_HEAD + body);
      String received = platform.call("a-1", "POST", "/order/x", KEY);
      assertWithMessage(body).that(received).startsWith("HTTP/1.1 200 ");
      assertWithMessage(body).that(received).endsWith("\r\n\r\nanswer");
    }
    String longBody = "x".repeat(0xABcd);
    shop.respondWith(PLAIN_HEAD + "ABcd\r\n" + longBody + "\r\n0\r\n\r\n");
    assertThat(platform.call("a-1", "POST", "/order/x", KEY)).endsWith("\r\n\r\n" + longBody);
  }

  private static Stream<String> invalidBodies(String data) {
    String size = Integer.toHexString(data.length());
    Stream<String> sizes =
        Stream.concat(
            INVALID_SIZES.stream().map(invalid -> invalid.replace("6", size)),
            IntStream.of(-1, 1, 2, 1000)
                .mapToObj(difference -> Integer.toHexString(data.length() + difference)));
    return Stream.of(
            sizes.map(invalid -> invalid + "\r\n" + data + "\r\n" + LAST_CHUNK),
            INVALID_SIZES.stream()
                .map(invalid -> size + "\r\n" + data + "\r\n" + invalid.replace("6", "0"))
                .map(body -> body + "\r\n\r\n"),
            INVALID_ENDS_OF_DATA.stream().map(end -> size + "\r\n" + data + end + LAST_CHUNK),
            INVALID_LAST_LINES.stream().map(line -> size + "\r\n" + data + "\r\n0\r\n" + line),
            INVALID_TRAILERS.stream()
                .map(line -> size + "\r\n" + data + "\r\n0\r\n" + line + "\r\n\r\n"))
        .flatMap(bodies -> bodies);
  }

  private void assertNotComplete(
      FixedResponseUpstream upstream, String path, Stream<String> responses) throws Exception {
    List<String> completed = new ArrayList<>();
    for (String response : responses.toList()) {
      upstream.respondWith(response);
      String received = platform.call("a-1", "POST", path, KEY, "Token-Counts: 900,8");
      boolean success = received.startsWith("HTTP/1.1 2");
      boolean chunked = received.contains("Transfer-Encoding: chunked");
      if (success && (!chunked || received.endsWith("\r\n" + LAST_CHUNK))) {
        completed.add(response + " -> " + received);
      }
    }
    assertThat(completed).isEmpty();
  }
}
