package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ChunkCheckTest {
  @Test
  void shouldAcceptChunksHoweverTheirBytesAreSplit() throws IOException {
    String body = "3\r\na\0\n\r\n0A ;name=1\r\n0123456789\r\n00\r\nName: 1\r\n\r\nleft over";
    for (int split = 0; split < body.length(); split++) {
      check(body, split);
    }
  }

  @Test
  void shouldRejectASizeThatIsInvalid() {
    for (String size : List.of("", "x", "3x", "-3", "1234567890123456", "3;\t\u007f")) {
      assertRejected(
          "1\r\na\r\n" + size + "\r\n",
          "expected the size of a chunk in hexadecimal digits, found '"
              + size.replace("\u007f", "\\x7f")
              + "'");
    }
  }

  @Test
  void shouldRejectWhatFollowsTheDataOfAChunk() {
    for (String end : List.of("x\r\n", "\n", " \r\n")) {
      assertRejected(
          "1\r\na" + end,
          "expected CR LF after the data of a chunk, found '"
              + end.replace("\r", "").replace("\n", "")
              + "'");
    }
  }

  @Test
  void shouldRejectATrailerThatIsNoField() {
    assertRejected("0\r\nSpoilt\r\n", "expected a field, 'name: value', found 'Spoilt'");
  }

  private static void assertRejected(String body, String message) {
    for (int split = 0; split < body.length(); split++) {
      int place = split;
      IOException rejected = assertThrows(IOException.class, () -> check(body, place));
      assertThat(rejected).hasMessageThat().isEqualTo(message);
    }
  }

  private static void check(String body, int split) throws IOException {
    ChunkCheck check = new ChunkCheck();
    check.accept(bytes(body.substring(0, split)));
    check.accept(bytes(body.substring(split)));
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
