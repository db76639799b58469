package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.cuminrack.member.EntryMember;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlannedStopTest {
  private final ManualClock clock = new ManualClock();
  private final RelayFixture fixture = RelayFixture.with(clock, RelayBounds.defaults());
  private final RelayFixture.Entry entry = fixture.entry("entry-1");
  private final ScriptedUpstream engine = fixture.upstream("engine-1");
  private final CountDownLatch proceed = new CountDownLatch(1);

  @BeforeEach
  void script() {
    fixture.membership.setMembers(
        new EntryMember("entry-2", 2, "dc-b", "entry-2:8081", "entry-2:8082", false),
        new EntryMember("entry-1", 1, "dc-a", "entry-1:8081", "entry-1:8082", false),
        new EntryMember("entry-3", 3, "dc-a", "entry-3:8081", "entry-3:8082", true));
    fixture.admission.setUpstreams(engine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.token("g1", 0);
          connection.await(proceed);
          connection.token("g1", 1);
          connection.finish("g1", 2);
        });
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  @Test
  void shouldListEntriesOfTheSameDataCentreFirstAndOmitStoppingOnes() throws IOException {
    CallerSession session = entry.send(CallerHttpRequest.of("GET", "/v1/entries")).readHead();

    assertThat(session.readBody())
        .isEqualTo("{\"entries\":[\"entry-1:8081\",\"entry-2:8081\"],\"ttl_seconds\":30}");
  }

  @Test
  void shouldOmitItselfOnceItStops() throws IOException {
    entry.api().beginStop();

    CallerSession session = entry.send(CallerHttpRequest.of("GET", "/v1/entries")).readHead();

    assertThat(session.readBody()).contains("[\"entry-2:8081\"]");
  }

  @Test
  void shouldServeCallersUntilTheAddressTtlHasPassed() throws IOException {
    entry.api().beginStop();
    clock.advance(Duration.ofSeconds(29));
    proceed.countDown();

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(Tokens.indices(session.readBody())).isEqualTo(Tokens.indicesUpTo(2));
  }

  @Test
  void shouldRejectWithOtherEntriesOnceTheAddressTtlHasPassed() throws IOException {
    entry.api().beginStop();
    clock.advance(Duration.ofSeconds(31));

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(session.status()).isEqualTo(503);
    String body = session.readBody();
    assertThat(body).contains("stopping");
    assertThat(body).contains("\"entries\":[\"entry-2:8081\"]");
    assertThat(body).contains("\"ran\":\"no\"");
  }

  @Test
  void shouldFinishAStreamInProgressBeforeTheEntryIsIdle() throws Exception {
    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();
    session.readUntil("\"index\":0");

    entry.api().beginStop();
    boolean idleBefore = entry.api().awaitIdle(Duration.ofMillis(50));
    proceed.countDown();
    String rest = session.readBody();

    assertThat(idleBefore).isFalse();
    assertThat(Tokens.indices(rest)).containsExactly(1, 2).inOrder();
    assertThat(entry.api().awaitIdle(Duration.ofSeconds(10))).isTrue();
  }
}
