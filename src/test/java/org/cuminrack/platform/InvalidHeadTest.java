package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.cuminrack.platform.PlatformFixture.KEY;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against responses that callers get as the upstream's though their head is not valid: the
 * length of the body is not what the upstream meant, or a line of the head is forwarded or dropped.
 */
class InvalidHeadTest {
  private static final String BODY = "answer";
  private static final String EVENTS = "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
  private static final String LENGTH = "Content-Length: 6";
  private static final String CHUNKED = "Transfer-Encoding: chunked";

  /** Values of Content-Length that do not state a length. */
  private static final List<String> INVALID_LENGTHS =
      List.of(
          "",
          "6x",
          "x6",
          "x",
          "-6",
          "+6",
          "0x6",
          "6 6",
          "6,",
          "6,7",
          "6, 6",
          "6.0",
          "6;",
          "1e1",
          "\"6\"",
          "6\u0000",
          "\u00b6",
          "99999999999999999999",
          "18446744073709551622",
          "6\r\n 6",
          "6\r\nContent-Length: 3",
          "3\r\nContent-Length: 6",
          "3\r\ncontent-length: 6",
          "6\r\nTransfer-Encoding: chunked");

  private static final List<String> INVALID_ENCODINGS =
      List.of(
          "",
          "chunkd",
          "xchunked",
          "chunkedx",
          "chunked,",
          "chunked, gzip",
          "gzip, chunked",
          "gzip",
          "identity",
          "chunked;q=1",
          "chunked chunked",
          "chunked\u0000",
          "chunked\r\nTransfer-Encoding: chunked",
          "chunked\r\nTransfer-Encoding: identity",
          "chunked\r\nContent-Length: 3");

  /** Lines in which no field can be read. */
  private static final List<String> INVALID_LINES =
      List.of(
          "Spoilt",
          "Spoilt line",
          "Content-Length 6",
          "Spoilt=1",
          ": Spoilt",
          ":",
          " Spoilt",
          " Spoilt: 1",
          "\tSpoilt: 1",
          "Spoilt : 1",
          "Spoilt\t: 1",
          "Spoilt name: 1",
          "Spo\u0000ilt: 1",
          "Spo\u0001ilt: 1",
          "Spo\u001bilt: 1",
          "Spo\u007filt: 1",
          "Spo\tilt: 1",
          "Spo\rilt: 1",
          "Spo\u00e9ilt: 1",
          "Spo(ilt: 1",
          "Spo\"ilt: 1",
          "Spo/ilt: 1",
          "\u0000Spoilt: 1",
          "Spoilt: 1\u00001",
          "Spoilt: \u0001",
          "Spoilt: 1\r1",
          "\u0001",
          "HTTP/1.1 200 Spoilt");

  private static final List<String> INVALID_STATUS_LINES =
      List.of(
          "HTTP/2.0 200 Fine",
          "HTTQ/1.1 200 Fine",
          "http/1.1 200 Fine",
          "HTTP/1.1x 200 Fine",
          "HTTP/11 200 Fine",
          "1.1 200 Fine",
          " 200 Fine",
          "HTTP/1.1  200 Fine",
          "HTTP/1.1\t200 Fine",
          "HTTP/1.1 200 Fi\u0000ne",
          "HTTP/1.1 200 Fi\rne",
          "Spoilt: 1\r\nHTTP/1.1 200 Fine",
          "Spoilt\r\nHTTP/1.1 200 Fine");

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
  void shouldNotForwardAPlainResponseWithAnInvalidLength() throws Exception {
    assertNotForwarded(shop, "/order/x", INVALID_LENGTHS.stream().map(InvalidHeadTest::plain));
  }

  @Test
  void shouldNotForwardAPlainResponseWithAnInvalidEncoding() throws Exception {
    assertNotForwarded(
        shop,
        "/order/x",
        INVALID_ENCODINGS.stream()
            .map(value -> head("HTTP/1.1 200 Fine", "Transfer-Encoding: " + value) + EVENTS));
  }

  @Test
  void shouldNotForwardAPlainResponseWithALineThatIsNoField() throws Exception {
    assertNotForwarded(shop, "/order/x", INVALID_LINES.stream().flatMap(InvalidHeadTest::placed));
  }

  @Test
  void shouldNotForwardAPlainResponseWithAnInvalidStatusLine() throws Exception {
    assertNotForwarded(
        shop, "/order/x", INVALID_STATUS_LINES.stream().map(line -> head(line, LENGTH) + BODY));
  }

  @Test
  void shouldNotForwardAnUnframedResponseWithALineThatIsNoField() throws Exception {
    assertNotForwarded(
        shop, "/order/x", INVALID_LINES.stream().map(line -> head("HTTP/1.1 200 Fine", line)));
  }

  @Test
  void shouldNotForwardAResponseWhoseHeadDoesNotEnd() throws Exception {
    String fields = head("HTTP/1.1 200 Fine", LENGTH).strip();
    assertNotForwarded(
        shop,
        "/order/x",
        Stream.of("", "\r", "\n", "\r\n", "\r\n\r", "\r\r", "\n\r", "\n\rx", "\r\n\rx")
            .map(end -> fields + end + BODY));
  }

  @Test
  void shouldNotForwardAResponseAfterAnInvalidInterimOne() throws Exception {
    assertNotForwarded(
        shop,
        "/order/x",
        INVALID_LINES.stream()
            .map(line -> "HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\n" + plain("6")));
  }

  @Test
  void shouldNotForwardAStreamWithAnInvalidHead() throws Exception {
    List<String> streams = new ArrayList<>();
    INVALID_ENCODINGS.forEach(value -> streams.add(stream("Transfer-Encoding: " + value)));
    INVALID_LENGTHS.forEach(value -> streams.add(stream("Content-Length: " + value)));
    INVALID_LINES.forEach(line -> streams.add(stream(line + "\r\n" + CHUNKED)));
    INVALID_LINES.forEach(line -> streams.add(stream(CHUNKED + "\r\n" + line)));
    assertNotForwarded(engine, "/plan/x", streams.stream());
  }

  @Test
  void shouldForwardEachHeadThatIsValid() throws Exception {
    List<String> heads =
        List.of(
            LENGTH,
            "content-length:6",
            "CONTENT-LENGTH: \t 6 \t",
            "Content-Length: 0006",
            "Empty:\r\n" + LENGTH,
            "!#$%&'*+-.^_`|~09: 1\r\n" + LENGTH,
            "Name: a\tb \u00e9 \u00ff : \"(\r\n" + LENGTH);
    for (String fields : heads) {
      for (String statusLine :
          List.of("HTTP/1.1 200 Fine", "HTTP/1.0 200 ", "HTTP/1.1 200 \t\u00e9")) {
        String sent = head(statusLine, fields) + BODY;
        shop.respondWith(sent);
        String received = platform.call("a-1", "POST", "/order/x", KEY);
        assertWithMessage(sent).that(received).startsWith("HTTP/1.1 200 ");
        assertWithMessage(sent).that(received).endsWith("\r\n\r\n" + BODY);
      }
    }
    shop.respondWith(
        head("HTTP/1.1 200 Fine", "transfer-encoding: Chunked") + "6\r\nanswer\r\n0\r\n\r\n");
    assertThat(platform.call("a-1", "POST", "/order/x", KEY)).contains("answer");
  }

  private static String plain(String length) {
    return head("HTTP/1.1 200 Fine", "Content-Length: " + length) + BODY;
  }

  private static String stream(String fields) {
    return head("HTTP/1.1 200 Fine", "Content-Type: text/event-stream\r\n" + fields) + EVENTS;
  }

  /** Returns responses with a line in each place of the head. */
  private static Stream<String> placed(String line) {
    return Stream.of(
        "HTTP/1.1 200 Fine\r\n"
            + line
            + "\r\nAttempt-Id: ID\r\nServer-Seal: seal\r\n"
            + LENGTH
            + "\r\n\r\n"
            + BODY,
        head("HTTP/1.1 200 Fine", line + "\r\n" + LENGTH) + BODY,
        head("HTTP/1.1 200 Fine", LENGTH + "\r\n" + line) + BODY);
  }

  private static String head(String statusLine, String fields) {
    return statusLine + "\r\nAttempt-Id: ID\r\nServer-Seal: seal\r\n" + fields + "\r\n\r\n";
  }

  private void assertNotForwarded(
      FixedResponseUpstream upstream, String path, Stream<String> responses) throws Exception {
    List<String> forwarded = new ArrayList<>();
    for (String response : responses.toList()) {
      upstream.respondWith(response);
      String received = platform.call("a-1", "POST", path, KEY, "Token-Counts: 900,8");
      if (!received.startsWith("HTTP/1.1 502 ")
          || received.contains("seal")
          || received.contains("Spo")) {
        forwarded.add(response + " -> " + received);
      }
    }
    assertThat(forwarded).isEmpty();
  }
}
