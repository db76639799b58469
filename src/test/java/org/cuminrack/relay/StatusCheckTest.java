package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class StatusCheckTest {
  @Test
  void shouldAcceptEachFinalStatusHoweverItsBytesAreSplit() throws IOException {
    for (int status = 200; status < 600; status++) {
      checkInTwoParts("HTTP/1.1 " + status + " Fine\r\nName: 000\r\n\r\nHTTP/1.1 000");
    }
  }

  @Test
  void shouldCheckTheStatusAfterInterimResponses() throws IOException {
    checkInTwoParts("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 \nName: 1\n\nHTTP/1.0 200 \r\n");
    assertRejected("HTTP/1.1 100 Continue\r\nName: 200 \r\n\r\nHTTP/1.1 000 \r\n", "000");
  }

  @Test
  void shouldRejectEachStatusThatIsNotFinal() {
    for (int status = 0; status < 1000; status++) {
      String text = "%03d".formatted(status);
      if (status != 100 && (status < 200 || status >= 600)) {
        assertRejected("HTTP/1.1 " + text + " Fine\r\n", text);
      }
    }
  }

  @Test
  void shouldRejectWhatIsNoNumberOfThreeDigits() {
    for (String status : List.of("", "2", "20", "-20", "+20", "2x0", "abc")) {
      assertRejected("HTTP/1.1 " + status + " Fine\r\n", status);
      assertRejected("HTTP/1.1 " + status + "\r\n", status);
    }
    assertRejected("HTTP/1.1 0200 Fine\r\n", "0200");
    assertRejected("HTTP/1.1 4294967496 Fine\r\n", "4294");
  }

  private static void assertRejected(String response, String status) {
    IOException rejected = assertThrows(IOException.class, () -> checkInTwoParts(response));
    assertThat(rejected)
        .hasMessageThat()
        .isEqualTo("expected a status from 200 to 599, found '" + status + "'");
  }

  /** Checks a response with a split at each position; expects the same result for each. */
  private static void checkInTwoParts(String response) throws IOException {
    String expected = check(response, 0);
    for (int split = 1; split < response.length(); split++) {
      assertWithMessage("split at %s", split).that(check(response, split)).isEqualTo(expected);
    }
    if (!expected.isEmpty()) {
      throw new IOException(expected);
    }
  }

  private static String check(String response, int split) {
    StatusCheck statusCheck = new StatusCheck();
    try {
      statusCheck.accept(bytes(response.substring(0, split)));
      statusCheck.accept(bytes(response.substring(split)));
      return "";
    } catch (IOException e) {
      return e.getMessage();
    }
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
  }
}
