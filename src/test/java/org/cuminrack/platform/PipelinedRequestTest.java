package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Pattern;
import org.cuminrack.system.TcpTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against bytes of next requests that are lost or swapped while a request is in progress.
 */
class PipelinedRequestTest {
  private static final int BODY_BYTES = 5;
  private static final Pattern DATA = Pattern.compile("data: (\\w+)");

  @TempDir Path folder;
  private final CountDownLatch allSent = new CountDownLatch(1);
  private PlatformFixture platform;

  @BeforeEach
  void start() throws Exception {
    platform = PlatformFixture.start(folder);
    FakeUpstream engine =
        platform
            .startUpstream()
            .withScript(
                exchange -> {
                  byte[] body = exchange.getRequestBody().readAllBytes();
                  String event =
                      "id: 1\ndata: " + new String(body, StandardCharsets.UTF_8) + "\n\n";
                  allSent.await();
                  exchange.sendResponseHeaders(200, event.length());
                  exchange.getResponseBody().write(event.getBytes(StandardCharsets.UTF_8));
                  exchange.close();
                });
    platform.announce("e-1", "llm", engine, "dc-a", "ready", 1);
    PlatformFixture.await(
        "the gateway to know the upstream", () -> platform.dump().contains("\"e-1\""));
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
  }

  @Test
  void shouldAnswerRequestsThatCameInOnePiece() throws Exception {
    assertThat(bodiesOfAnswersTo()).containsExactly("body1", "body2", "body3").inOrder();
  }

  @Test
  void shouldAnswerRequestsThatCameInPiecesBehindTheFirst() throws Exception {
    int length = request(1).length();

    assertThat(bodiesOfAnswersTo(length, length + 20, length + 60, 2 * length + 3))
        .containsExactly("body1", "body2", "body3")
        .inOrder();
  }

  @Test
  void shouldAnswerRequestsWhoseFirstPieceCameWithTheFirst() throws Exception {
    int length = request(1).length();

    assertThat(bodiesOfAnswersTo(length + 40, 2 * length + 10))
        .containsExactly("body1", "body2", "body3")
        .inOrder();
  }

  /**
   * Sends three requests over one connection, cut at these places, and returns what is answered.
   * The first request is in progress until the gateway has read all pieces.
   */
  private List<String> bodiesOfAnswersTo(int... cuts) throws Exception {
    int callerPort = URI.create("http://" + platform.callerAddress()).getPort();
    String requests = request(1) + request(2) + request(3).replace("keep-alive", "close     ");
    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
      int start = 0;
      for (int end : cuts) {
        write(caller, requests.substring(start, end));
        PlatformFixture.await(
            "the gateway to read the piece", () -> TcpTable.unreadBytesAt(callerPort) == 0);
        start = end;
      }
      write(caller, requests.substring(start));
      PlatformFixture.await(
          "the gateway to read the rest", () -> TcpTable.unreadBytesAt(callerPort) == 0);
      allSent.countDown();
      String answers = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return DATA.matcher(answers).results().map(event -> event.group(1)).toList();
    }
  }

  private static void write(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String request(int number) {
    String text =
        """
        POST /plan/x HTTP/1.1
        Host: shop.example
        Connection: keep-alive
        Attempt-Id: p-%1$d
        Token-Counts: 900,8
        Content-Length: %2$d
        %3$s

        body%1$d""";
    return text.formatted(number, BODY_BYTES, PlatformFixture.KEY).replace("\n", "\r\n");
  }
}
