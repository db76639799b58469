package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
  private final List<String> events = new ArrayList<>();
  private final EventSplitter splitter =
      new EventSplitter(
          64, (id, bytes) -> events.add(id + "|" + new String(bytes, StandardCharsets.UTF_8)));

  @Test
  void shouldForwardEachEventUnchanged() {
    feed("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");

    assertThat(events)
        .containsExactly("1|id: 1\ndata: a\n\n", "2|id: 2\r\ndata: b\r\n\r\n")
        .inOrder();
  }

  @Test
  void shouldAssembleAnEventReceivedInParts() {
    "id: 7\ndata: x\n\n".chars().forEach(character -> feed(Character.toString(character)));

    assertThat(events).containsExactly("7|id: 7\ndata: x\n\n");
  }

  @Test
  void shouldNotForwardATruncatedEvent() {
    feed("id: 1\ndata: a\n\nid: 2\ndata: b");

    assertThat(events).hasSize(1);
    assertThat(splitter.isInsideEvent()).isTrue();
  }

  @Test
  void shouldForwardAnEventWithoutAnId() {
    feed("weight-versions: 3\ndata: a\n\n");

    assertThat(events).containsExactly("|weight-versions: 3\ndata: a\n\n");
  }

  @Test
  void shouldRejectAnEventThatIsTooLarge() {
    assertThat(splitter.feed(ByteBuffer.wrap(new byte[65])))
        .hasValue("expected an event of at most 64 bytes");
  }

  private void feed(String text) {
    assertThat(splitter.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)))).isEmpty();
  }
}
