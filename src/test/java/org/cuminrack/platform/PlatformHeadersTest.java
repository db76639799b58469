package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cuminrack.gateway.RequestHead;
import org.cuminrack.gateway.ResponseHead;
import org.cuminrack.gateway.ResumePoint;
import org.cuminrack.gateway.UpstreamRequestHead;
import org.cuminrack.pace.StatedLoad;
import org.junit.jupiter.api.Test;

class PlatformHeadersTest {
  private final PlatformHeaders headers = new PlatformHeaders();

  @Test
  void shouldReadTheHeadersOfARequest() {
    RequestHead head =
        headers
            .readRequest(
                map(
                    "Attempt-Id", "9c41",
                    "Deadline-Ms", "1500",
                    "Token-Counts", "1460,80",
                    "Prompt-Prefix", "5c1e:800,91bd:410",
                    "Authorization", "Bearer secret"))
            .get();

    assertThat(head.attemptId()).isEqualTo("9c41");
    assertThat(head.timeout()).hasValue(Duration.ofMillis(1500));
    assertThat(head.apiKey()).hasValue("secret");
    assertThat(head.demand().get().promptTokens()).isEqualTo(1460);
    assertThat(head.demand().get().maxOutputTokens()).isEqualTo(80);
    assertThat(head.promptParts()).containsExactly("5c1e", "91bd").inOrder();
  }

  @Test
  void shouldReadPromptPartsHoweverTheyAreWritten() {
    HeaderMap sent = map("Attempt-Id", "1", "Prompt-Prefix", " 5C1E:800 ,,91bd");
    sent.add(new HttpString("Prompt-Prefix"), "e440:x");

    assertThat(headers.readRequest(sent).get().promptParts())
        .containsExactly("5c1e", "91bd", "e440")
        .inOrder();
  }

  @Test
  void shouldRejectARequestWithoutAnAttemptId() {
    assertThat(headers.readRequest(map("Deadline-Ms", "5")).getLeft()).startsWith("Attempt-Id:");
  }

  @Test
  void shouldRejectInvalidTokenCounts() {
    assertThat(headers.readRequest(map("Attempt-Id", "1", "Token-Counts", "12")).getLeft())
        .isEqualTo("Token-Counts: expected two whole numbers, found '12'");
  }

  @Test
  void shouldReplaceHeadersThatOnlyTheGatewayMaySet() {
    HeaderMap sent =
        map(
            "Authorization", "Bearer secret",
            "Tenant", "other",
            "Hold", "h-1",
            "Pin-Ms", "100",
            "Kv-From", "10.0.0.1:80/x",
            "Kv-Backup", "10.0.0.1:80",
            "X-Own", "kept");

    headers.writeRequest(
        sent,
        new UpstreamRequestHead(
            Duration.ofMillis(700),
            "i-1",
            Optional.of("org-1"),
            Optional.empty(),
            Optional.empty()));

    assertThat(sent.getFirst("Authorization")).isNull();
    assertThat(sent.getFirst("Hold")).isNull();
    assertThat(sent.getFirst("Pin-Ms")).isNull();
    assertThat(sent.getFirst("Kv-From")).isNull();
    assertThat(sent.getFirst("Kv-Backup")).isNull();
    assertThat(sent.getFirst("Tenant")).isEqualTo("org-1");
    assertThat(sent.getFirst("Expect-Instance")).isEqualTo("i-1");
    assertThat(sent.getFirst("Deadline-Ms")).isEqualTo("700");
    assertThat(sent.getFirst("X-Own")).isEqualTo("kept");
  }

  @Test
  void shouldWriteTheResumePoint() {
    HeaderMap sent = new HeaderMap();

    headers.writeRequest(
        sent,
        new UpstreamRequestHead(
            Duration.ofMillis(700),
            "i-2",
            Optional.empty(),
            Optional.empty(),
            Optional.of(new ResumePoint("10.0.0.2:80", "9c41", "17"))));

    assertThat(sent.getFirst("Kv-From")).isEqualTo("10.0.0.2:80/9c41");
    assertThat(sent.getFirst("Last-Event-Id")).isEqualTo("17");
  }

  @Test
  void shouldNotMatchTheResponseToAnotherRequest() {
    assertThat(headers.readResponse(200, map("Attempt-Id", "other"), "9c41").matchesRequest())
        .isFalse();
    assertThat(headers.readResponse(200, new HeaderMap(), "9c41").matchesRequest()).isFalse();
  }

  @Test
  void shouldCountARequestAsNotExecutedOnlyIfTheUpstreamStatesIt() {
    assertThat(headers.readResponse(503, map("Attempt-Id", "9c41"), "9c41").notExecuted())
        .isFalse();
    assertThat(
            headers
                .readResponse(503, map("Attempt-Id", "9c41", "Not-Executed", "1"), "9c41")
                .notExecuted())
        .isTrue();
    assertThat(headers.readResponse(421, new HeaderMap(), "9c41"))
        .isEqualTo(
            new ResponseHead(
                true,
                true,
                true,
                Either.right(OptionalDouble.empty()),
                false,
                Either.right(Optional.empty()),
                Either.right(Optional.empty())));
  }

  @Test
  void shouldReadTheLoadThatAnUpstreamStates() {
    HeaderMap stated = map("Attempt-Id", "9c41", "Server-Load", "3,1,8,250");

    assertThat(headers.readResponse(200, stated, "9c41").load().get())
        .hasValue(new StatedLoad(3, 1, 8, OptionalDouble.of(2.5)));
    HeaderMap absurd = map("Attempt-Id", "9c41", "Server-Load", "3,1,8,NaN");
    assertThat(headers.readResponse(200, absurd, "9c41").load().isLeft()).isTrue();
  }

  @Test
  void shouldReadThatAnUpstreamLeavesFromAnyAnswer() {
    for (int status : new int[] {200, 404, 500, 503}) {
      HeaderMap leaving = map("Attempt-Id", "9c41", "Server-Leaving", "1");
      assertThat(headers.readResponse(status, leaving, "9c41").leaving()).isTrue();
    }
    HeaderMap other = map("Attempt-Id", "9c41", "Server-Leaving", "0");
    assertThat(headers.readResponse(200, other, "9c41").leaving()).isFalse();
  }

  @Test
  void shouldReadHowLongAnUpstreamWantsNoRequests() {
    assertThat(pause(503, "2")).isEqualTo(Either.right(Optional.of(Duration.ofSeconds(2))));
    assertThat(pause(503, " 0.25 ")).isEqualTo(Either.right(Optional.of(Duration.ofMillis(250))));
    assertThat(pause(200, "2")).isEqualTo(Either.right(Optional.empty()));
  }

  @Test
  void shouldRefuseAnInvalidTimeForWhichAnUpstreamWantsNoRequests() {
    for (String invalid : List.of("soon", "", "-1", "NaN", "Fri, 04 Dec 2026 10:00:00 GMT")) {
      assertThat(pause(503, invalid).getLeft())
          .isEqualTo("Retry-After: expected seconds, 0 or more, found '" + invalid + "'");
    }
  }

  private Either<String, Optional<Duration>> pause(int status, String text) {
    return headers
        .readResponse(status, map("Attempt-Id", "9c41", "Retry-After", text), "9c41")
        .pause();
  }

  @Test
  void shouldReadTheRateOfRequestsThatAnUpstreamAccepts() {
    assertThat(requestsPerSecond("2.4").get().getAsDouble()).isEqualTo(2.4);
    assertThat(requestsPerSecond(" 0 ").get().getAsDouble()).isEqualTo(0.0);
    assertThat(requestsPerSecond("1e99").get().getAsDouble()).isEqualTo(1e99);
  }

  @Test
  void shouldReportARateOfRequestsThatIsInvalid() {
    for (String invalid : List.of("", "-1", "NaN", "Infinity", "1e999", "two")) {
      assertThat(requestsPerSecond(invalid).getLeft())
          .isEqualTo(
              "Server-Limit: expected requests a second, 0 or more, found '" + invalid + "'");
    }
  }

  private Either<String, OptionalDouble> requestsPerSecond(String text) {
    return headers
        .readResponse(200, map("Attempt-Id", "1", "Server-Limit", text), "1")
        .requestsPerSecond();
  }

  private static HeaderMap map(String... namesAndValues) {
    HeaderMap map = new HeaderMap();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.put(new HttpString(namesAndValues[i]), namesAndValues[i + 1]);
    }
    return map;
  }
}
