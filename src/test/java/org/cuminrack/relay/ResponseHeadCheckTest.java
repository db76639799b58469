package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResponseHeadCheckTest {
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
    assertRejected("HTTP/1.1 4294967496 Fine\r\n", "4294967496");
  }

  @Test
  void shouldRejectAStatusLineOfAnotherProtocol() {
    assertRejectedWith(
        "HTTP/2.0 200 Fine\r\n", "expected a status line of HTTP/1, found 'HTTP/2.0 200 Fine'");
    assertRejectedWith("junk\r\n", "expected a status line of HTTP/1, found 'junk'");
    assertRejectedWith(
        "HTTP/1.1 200 a\0b\r\n",
        "expected a reason phrase without control characters, found 'HTTP/1.1 200 a\\x00b'");
  }

  @Test
  void shouldRejectALineThatIsNoField() {
    for (String line : List.of("Name", "a b: 1", "a : 1", " a: 1", ": 1", "a\0: 1", "a: \0")) {
      String found = line.replace("\0", "\\x00");
      assertRejectedWith(
          "HTTP/1.1 200 Fine\r\nName: 1\r\n" + line + "\r\n",
          "expected a field, 'name: value', found '" + found + "'");
    }
  }

  @Test
  void shouldRejectACarriageReturnAtOnceIfNoLineFeedFollows() {
    for (String start : List.of("", "HTTP/1.1 200 Fine\r\n", "HTTP/1.1 200 Fine\r\nName: ")) {
      assertRejectedWith(
          start + "\rx",
          "expected a line feed after a carriage return, found '"
              + start.substring(start.lastIndexOf('\n') + 1)
              + "\\x0dx'");
    }
  }

  @Test
  void shouldRejectALengthOrACodingThatIsInvalidOrRepeated() {
    for (String field :
        List.of("Content-Length: 6x", "CONTENT-LENGTH: +6", "Transfer-Encoding: gzip")) {
      assertRejectedWith(
          "HTTP/1.1 200 Fine\r\n" + field + "\r\n",
          "expected one length in digits, or the coding chunked, found '" + field + "'");
    }
    assertRejectedWith(
        "HTTP/1.1 200 Fine\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n",
        "expected one length in digits, or the coding chunked, found 'Transfer-Encoding: chunked'");
  }

  @Test
  void shouldAcceptALengthAfterAnInterimResponseThatStatesOneToo() throws IOException {
    checkInTwoParts(
        "HTTP/1.1 100 Fine\r\nContent-Length: 0\r\n\r\n"
            + "HTTP/1.1 200 Fine\r\nContent-Length:\t6 \r\n\r\n\0\0\0\0\0\0");
  }

  @Test
  void shouldQuoteTheStartOfALongLineOnly() {
    assertRejectedWith(
        "HTTP/1.1 200 Fine\r\n" + "x".repeat(200) + "\r\n",
        "expected a field, 'name: value', found '" + "x".repeat(80) + "'");
  }

  private static void assertRejected(String response, String status) {
    assertRejectedWith(response, "expected a status from 200 to 599, found '" + status + "'");
  }

  private static void assertRejectedWith(String response, String message) {
    IOException rejected = assertThrows(IOException.class, () -> checkInTwoParts(response));
    assertThat(rejected).hasMessageThat().isEqualTo(message);
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
    ResponseHeadCheck headCheck = new ResponseHeadCheck();
    try {
      headCheck.accept(bytes(response.substring(0, split)));
      headCheck.accept(bytes(response.substring(split)));
      return "";
    } catch (IOException e) {
      return e.getMessage();
    }
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
  }
}
