package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventStreamParserTest {
  private static final String STREAM =
      ": comment\n\nid: g1:0\r\ndata: {\"text\":\"žltá\"}\r\n\r\nretry: 5\nid:g1:1\ndata:b\n\ndata: c\n\n";
  private static final List<String> EVENTS = List.of("g1:0|{\"text\":\"žltá\"}", "g1:1|b", "|c");

  private final List<String> events = new ArrayList<>();
  private final EventStreamParser parser =
      new EventStreamParser(
          200, (id, data) -> events.add(id + "|" + new String(data, StandardCharsets.UTF_8)));

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void shouldParseEventsFromOneRead() {
    assertThat(parser.feed(bytes(STREAM)).isEmpty()).isTrue();

    assertThat(events).isEqualTo(EVENTS);
  }

  @Property
  void shouldParseTheSameEventsForAnyReadSize(@ForAll @IntRange(min = 1, max = 60) int size) {
    events.clear();
    EventStreamParser incrementalParser =
        new EventStreamParser(
            200, (id, data) -> events.add(id + "|" + new String(data, StandardCharsets.UTF_8)));
    byte[] all = STREAM.getBytes(StandardCharsets.UTF_8);
    for (int from = 0; from < all.length; from += size) {
      incrementalParser.feed(ByteBuffer.wrap(all, from, Math.min(size, all.length - from)));
    }

    assertThat(events).isEqualTo(EVENTS);
  }

  @Test
  void shouldNotDeliverAnIncompleteEvent() {
    parser.feed(bytes("id: g1:0\ndata: whole\n\nid: g1:1\ndata: cut\n"));

    assertThat(events).containsExactly("g1:0|whole");
  }

  @Test
  void shouldRejectAnEventThatIsTooLarge() {
    assertThat(parser.feed(bytes("data: " + "x".repeat(200))).get()).contains("at most 200 bytes");
  }
}
