package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.junit.jupiter.api.Test;

class AnnouncementsTest {
  private static final String HEARTBEAT =
      """
      {"service":"llm","address":"10.128.0.9:8080","zone":"dc-a","version":"v1","slots":24,
       "state":"ready","cold-left-ms":250,"call-seq":4,"born":1786843519001}""";

  @Test
  void shouldDecodeAHeartbeat() {
    UpstreamRecord record = decode(HEARTBEAT).get();

    assertThat(record.id()).isEqualTo("i-1");
    assertThat(record.phase()).isEqualTo(UpstreamPhase.READY);
    assertThat(record.sequence()).isEqualTo(4);
    assertThat(record.startedMillis()).isEqualTo(1_786_843_519_001L);
    assertThat(record.isCold(249_000_000)).isTrue();
    assertThat(record.isCold(251_000_000)).isFalse();
  }

  @Test
  void shouldRejectAnUnknownState() {
    assertThat(decode(HEARTBEAT.replace("\"ready\"", "\"resting\"")).getLeft())
        .isEqualTo("state: expected a known state, found resting");
  }

  @Test
  void shouldRejectAMissingField() {
    assertThat(decode(HEARTBEAT.replace("\"service\"", "\"servant\"")).getLeft())
        .startsWith("service: expected a text");
  }

  @Test
  void shouldRejectAFieldOfAnotherType() {
    assertThat(decode(HEARTBEAT.replace("24", "\"24\"")).getLeft())
        .startsWith("slots: expected a whole number");
  }

  @Test
  void shouldRejectAnInvalidAddress() {
    assertThat(decode(HEARTBEAT.replace("10.128.0.9:8080", "somewhere")).getLeft())
        .startsWith("address: expected an IP number and a port");
  }

  @Test
  void shouldRejectInvalidJson() {
    assertThat(decode("\u0000\u0001").isLeft()).isTrue();
  }

  @Test
  void shouldDecodeALeaveOfTheLatestIncarnation() {
    UpstreamRecord latest = decode(HEARTBEAT).get();

    UpstreamRecord left = leave(Optional.of(latest), "{\"born\":1786843519001}").get();

    assertThat(left.phase()).isEqualTo(UpstreamPhase.LEFT);
    assertThat(left.address()).isEqualTo(latest.address());
    assertThat(left.isNewerThan(latest)).isTrue();
    assertThat(leave(Optional.of(latest), "")).hasValue(left);
  }

  @Test
  void shouldNotTakeALeaveOfAnEarlierIncarnationForOneOfTheLatest() {
    UpstreamRecord latest = decode(HEARTBEAT).get();

    UpstreamRecord left = leave(Optional.of(latest), "{\"born\":5}").get();

    assertThat(left.startedMillis()).isEqualTo(5);
    assertThat(left.isNewerThan(latest)).isFalse();
  }

  @Test
  void shouldDecodeALeaveOfAnUnknownUpstreamOnlyIfItStatesItsIncarnation() {
    UpstreamRecord left = leave(Optional.empty(), "{\"born\":5}").get();

    assertThat(left.phase()).isEqualTo(UpstreamPhase.LEFT);
    assertThat(left.startedMillis()).isEqualTo(5);
    assertThat(leave(Optional.empty(), "")).isEmpty();
    assertThat(leave(Optional.empty(), "{\"born\":\"5\"}")).isEmpty();
  }

  private static Optional<UpstreamRecord> leave(Optional<UpstreamRecord> latest, String body) {
    return Announcements.leave("i-1", latest, body.getBytes(StandardCharsets.UTF_8), 0);
  }

  private static Either<String, UpstreamRecord> decode(String report) {
    return Announcements.heartbeat("i-1", report.getBytes(StandardCharsets.UTF_8), 0);
  }
}
