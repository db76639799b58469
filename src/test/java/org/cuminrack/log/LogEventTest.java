package org.cuminrack.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LogEventTest {

  @Test
  void shouldFormatFieldsInInsertionOrder() {
    LogEvent event = LogEvent.named("lease-lost").with("entry", "entry-1").with("age_ms", 2100);

    assertThat(event.toString()).isEqualTo("event=lease-lost entry=entry-1 age_ms=2100");
  }

  @Test
  void shouldQuoteAndEscapeAValueWithSpacesAndNewlines() {
    LogEvent event = LogEvent.named("refused").with("detail", "a \"b\"\nc=d");

    assertThat(event.toString()).isEqualTo("event=refused detail=\"a \\\"b\\\"\\nc=d\"");
  }

  @Test
  void shouldQuoteAnEmptyValue() {
    assertThat(LogEvent.named("started").with("role", "").toString())
        .isEqualTo("event=started role=\"\"");
  }
}
