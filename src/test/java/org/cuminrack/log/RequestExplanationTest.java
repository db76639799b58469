package org.cuminrack.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class RequestExplanationTest {
  private static final String PLACED =
      "time=2026-01-31T08:00:10Z level=INFO event=request-placed request=r-1 upstream=i-1";
  private static final String ENDED =
      "time=2026-01-31T08:00:12Z level=INFO event=request-ended request=r-1 upstream=i-1"
          + " outcome=broken-off detail=\"lost after 3 events\"";
  private static final String DRAINING =
      "time=2026-01-31T08:00:11Z level=INFO event=upstream-moved upstream=i-1 phase=DRAINING";
  private static final String OTHER_UPSTREAM =
      "time=2026-01-31T08:00:11Z level=INFO event=upstream-moved upstream=i-2 phase=DRAINING";
  private static final String OTHER_REQUEST =
      "time=2026-01-31T08:00:11Z level=INFO event=request-ended request=r-2 upstream=i-1";
  private static final String LONG_BEFORE =
      "time=2026-01-31T07:59:00Z level=INFO event=routing-in-force revision=3";

  @Test
  void shouldReturnLinesOfRequestAndItsContextEventsInOrder() {
    assertThat(explain("r-1", ENDED, OTHER_UPSTREAM, DRAINING, PLACED, OTHER_REQUEST, LONG_BEFORE))
        .containsExactly(PLACED, DRAINING, ENDED)
        .inOrder();
  }

  @Test
  void shouldReturnNothingForAnUnknownRequest() {
    assertThat(explain("r-9", PLACED, DRAINING)).isEmpty();
  }

  @Test
  void shouldParseQuotedValues() {
    assertThat(LogLine.parse(ENDED).get().field("detail")).isEqualTo("lost after 3 events");
  }

  @Test
  void shouldIgnoreLinesOfOtherPrograms() {
    assertThat(LogLine.parse("Picked up JAVA_TOOL_OPTIONS: -Xmx1g").isPresent()).isFalse();
  }

  private static List<String> explain(String request, String... lines) {
    List<LogLine> parsed = Stream.of(lines).map(LogLine::parse).flatMap(Optional::stream).toList();
    return RequestExplanation.of(request, parsed).stream().map(LogLine::text).toList();
  }
}
