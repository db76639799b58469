package org.cuminrack.sharing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminrack.sharing.SimulatedBoards.SimulatedGateway;
import org.junit.jupiter.api.Test;

class BoardFailuresTest {
  private static final Duration REPEAT = Duration.ofMillis(600);
  private static final Duration QUESTION = Duration.ofMillis(25);

  private final SimulatedBoards boards = SimulatedBoards.of(6, 4);

  @Test
  void shouldTellAnotherBoardEverythingIfOneIsFrozen() {
    SimulatedGateway first = boards.others().get(0);
    SimulatedGateway second = boards.others().get(1);
    first.begin("i-0", 100);
    boards.run(REPEAT);
    second.learnsWithin(Duration.ofMillis(100));

    boards.frozen.add(boards.board().vm);
    boolean answered = second.learnsWithin(QUESTION);
    int knownMeanwhile = second.requestsOn("i-0");
    boards.run(Duration.ofMillis(1_500));

    assertThat(answered).isFalse();
    assertThat(knownMeanwhile).isEqualTo(1);
    assertThat(second.learnsWithin(QUESTION)).isTrue();
    assertThat(second.requestsOn("i-0")).isEqualTo(1);
  }

  @Test
  void shouldKeepTheLoadThatIsKnownUntilANewBoardIsWhole() {
    SimulatedGateway first = boards.others().get(0);
    SimulatedGateway second = boards.others().get(1);
    first.begin("i-0", 100);
    second.begin("i-1", 100);
    boards.run(REPEAT);

    boards.setLive(boards.others().stream().map(gateway -> gateway.vm).collect(Collectors.toSet()));

    for (int i = 0; i < 30; i++) {
      boards.run(Duration.ofMillis(50));
      assertThat(first.requestsOn("i-1")).isEqualTo(1);
      assertThat(second.requestsOn("i-0")).isEqualTo(1);
    }
  }

  @Test
  void shouldNotKeepEndedLoadWhileABoardIsFrozenAgainAndAgain() {
    SimulatedGateway first = boards.others().get(0);
    SimulatedGateway second = boards.others().get(1);
    String frozenVm = boards.board().vm;
    first.begin("i-0", 100);
    second.begin("i-1", 100);
    boards.run(REPEAT);
    first.end("i-0", 100);
    for (int i = 0; i < 100; i++) {
      if (i % 10 == 0) {
        boards.frozen.add(frozenVm);
      } else if (i % 10 == 5) {
        boards.frozen.remove(frozenVm);
      }
      second.learnsWithin(Duration.ofMillis(60));
    }

    assertThat(second.requestsOn("i-0")).isEqualTo(0);
  }

  @Test
  void shouldUseABoardAgainAfterItWasFrozen() {
    SimulatedGateway board = boards.board();
    SimulatedGateway first = boards.others().get(0);
    SimulatedGateway second = boards.others().get(1);
    first.begin("i-0", 100);
    boards.run(REPEAT);
    boards.frozen.add(board.vm);
    boards.run(Duration.ofSeconds(5));
    boards.frozen.remove(board.vm);
    boards.run(Duration.ofSeconds(5));

    first.begin("i-1", 100);
    boards.run(QUESTION);
    second.learnsWithin(QUESTION);

    assertThat(first.clients.boardsByPool()).containsEntry("chat/0", board.vm);
    assertThat(second.requestsOn("i-1")).isEqualTo(1);
  }

  @Test
  void shouldNotCountTheLoadOfAGatewayThatIsFrozen() {
    SimulatedGateway first = boards.others().get(0);
    SimulatedGateway second = boards.others().get(1);
    first.begin("i-0", 100);
    boards.run(REPEAT);
    boards.frozen.add(first.vm);
    boards.run(Duration.ofMillis(2_500));

    assertThat(second.learnsWithin(QUESTION)).isTrue();
    assertThat(second.requestsOn("i-0")).isEqualTo(0);
  }

  @Test
  void shouldRepeatWhatALostCallReported() {
    SimulatedGateway first = boards.others().get(0);
    SimulatedGateway second = boards.others().get(1);
    boards.callsToLose = 1;
    first.begin("i-0", 100);
    boards.run(Duration.ofMillis(3_500));
    boolean answered = second.learnsWithin(QUESTION);

    assertThat(answered).isTrue();
    assertThat(second.requestsOn("i-0")).isEqualTo(1);
    assertThat(first.counters.get(SharingCounters.Kind.TIMEOUTS)).isEqualTo(1);
  }

  @Test
  void shouldServeAGatewayThatIsAlone() {
    SimulatedBoards alone = SimulatedBoards.of(1, 4);
    SimulatedGateway gateway = alone.gateways.get(0);
    gateway.begin("i-0", 100);

    assertThat(gateway.learnsWithin(QUESTION)).isTrue();
    assertThat(gateway.requestsOn("i-0")).isEqualTo(1);
    assertThat(alone.calls).isEqualTo(0);
  }

  @Test
  void shouldUseItsOwnBoardIfAllOthersAreSilent() {
    SimulatedGateway first = boards.others().get(0);
    boards.gateways.stream()
        .filter(gateway -> gateway != first)
        .forEach(gateway -> boards.frozen.add(gateway.vm));
    first.begin("i-0", 100);
    boards.run(Duration.ofSeconds(1));

    assertThat(first.learnsWithin(QUESTION)).isTrue();
  }

  @Test
  void shouldRunARequestWithoutABoard() {
    SimulatedGateway first = boards.others().get(0);
    boards.setLive(Set.of());

    assertThat(first.learnsWithin(Duration.ZERO)).isTrue();
  }

  @Test
  void shouldForgetARestartedGatewaysLoad() {
    SimulatedGateway first = boards.others().get(0);
    SimulatedGateway second = boards.others().get(1);
    first.begin("i-0", 100);
    boards.run(REPEAT);
    boards.frozen.add(first.vm);
    boards.run(Duration.ofMillis(200));

    SimulatedGateway restarted = boards.add(first.vm);
    boards.frozen.remove(first.vm);
    boards.gateways.remove(first);
    restarted.begin("i-1", 100);
    boards.run(QUESTION);
    second.learnsWithin(QUESTION);

    assertThat(second.requestsOn("i-0")).isEqualTo(0);
    assertThat(second.requestsOn("i-1")).isEqualTo(1);
  }
}
