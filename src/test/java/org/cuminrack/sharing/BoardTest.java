package org.cuminrack.sharing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.cuminrack.generated.board.BoardAnswer;
import org.cuminrack.generated.board.BoardCall;
import org.cuminrack.generated.board.BoardDemandData;
import org.cuminrack.generated.board.BoardLeavingData;
import org.cuminrack.generated.board.BoardLimitData;
import org.cuminrack.generated.board.BoardLoadData;
import org.cuminrack.generated.board.BoardPaceData;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class BoardTest {
  private final ManualClock clock = new ManualClock();
  private final Board board = Board.ofFirstPool("chat", 7, () -> Set.of("a", "b", "c"), clock);
  private long lastNumber;

  @Test
  void shouldAnswerWithTheSumOfTheOthers() {
    board.handle(call("a").addLoads(load("i-0", 2)).build());
    board.handle(call("b").addLoads(load("i-0", 3)).build());

    BoardAnswer answer = board.handle(call("c").addLoads(load("i-0", 1)).build());

    assertThat(answer.getLoadsList()).containsExactly(load("i-0", 5));
  }

  @Test
  void shouldTellOnlyWhatOthersHaveChanged() {
    board.handle(call("a").addLoads(load("i-0", 2)).addLoads(load("i-1", 2)).build());
    BoardAnswer known = board.handle(call("b").build());
    board.handle(call("a").addLoads(load("i-0", 2)).addLoads(load("i-1", 4)).build());

    BoardAnswer changed = board.handle(knowing(call("b").addLoads(load("i-2", 1)), known).build());
    BoardAnswer unchanged =
        board.handle(knowing(call("b").addLoads(load("i-2", 9)), changed).build());

    assertThat(changed.getLoadsList()).containsExactly(load("i-1", 4));
    assertThat(unchanged.getLoadsList()).isEmpty();
  }

  @Test
  void shouldTellThatALoadHasEnded() {
    board.handle(call("a").addLoads(load("i-0", 2)).build());
    BoardAnswer known = board.handle(call("b").build());
    board.handle(call("a").build());

    assertThat(board.handle(knowing(call("b"), known).build()).getLoadsList())
        .containsExactly(load("i-0", 0));
  }

  @Test
  void shouldIgnoreCallsThatComeLateOrAgain() {
    BoardCall first = call("a").addLoads(load("i-0", 2)).build();
    BoardCall second = call("a").addLoads(load("i-0", 5)).build();
    board.handle(second);
    board.handle(first);
    board.handle(second);

    assertThat(board.handle(call("b").build()).getLoadsList()).containsExactly(load("i-0", 5));
  }

  @Test
  void shouldAskForAllLoadsIfItLacksACall() {
    board.handle(call("a").addLoads(load("i-0", 2)).build());

    BoardAnswer answer = board.handle(call("a").setBaseNumber(99).addLoads(load("i-1", 2)).build());

    assertThat(answer.getNeedsAllLoads()).isTrue();
    assertThat(board.handle(call("b").build()).getLoadsList()).containsExactly(load("i-0", 2));
  }

  @Test
  void shouldTellThatAnUpstreamLeavesAndItsPace() {
    BoardLeavingData leaving = BoardLeavingData.newBuilder().setId("i-0").setBornMillis(3).build();
    BoardPaceData pace =
        BoardPaceData.newBuilder().setId("i-1").setBornMillis(3).setSlowdown(2).build();
    board.handle(call("a").addLeaving(leaving).addPaces(pace).build());

    BoardAnswer answer = board.handle(call("b").build());

    assertThat(answer.getLeavingList()).containsExactly(leaving);
    assertThat(answer.getPacesList()).containsExactly(pace);
    assertThat(board.handle(knowing(call("b"), answer).build()).getPacesList()).isEmpty();
  }

  @Test
  void shouldAddUpTheDemandOfTheOthers() {
    board.handle(call("a").setHasDemand(true).addDemand(demand("org", 10)).build());
    board.handle(call("b").setHasDemand(true).addDemand(demand("org", 5)).build());

    BoardAnswer answer = board.handle(call("c").build());

    assertThat(answer.getDemandList()).containsExactly(demand("org", 15));
    assertThat(board.handle(knowing(call("c"), answer).build()).getHasDemand()).isFalse();
  }

  @Test
  void shouldAddUpRequestsThatCountAgainstALimit() {
    board.handle(call("a").addLimits(limit(true, 2, 3)).build());
    board.handle(call("b").addLimits(limit(false, 1, 1)).build());

    BoardAnswer answer = board.handle(call("c").build());

    assertThat(answer.getLimitsList()).containsExactly(limit(true, 3, 4));
  }

  @Test
  void shouldCountGatewaysWhoseRequestsItDoesNotKnow() {
    board.handle(call("a").addLimits(limit(true, 2, 3)).build());
    int whileNew = board.handle(call("b").build()).getSilentGateways();
    clock.advance(Duration.ofMillis(900));
    board.handle(call("a").addLimits(limit(true, 2, 3)).build());
    clock.advance(Duration.ofMillis(200));
    int onceWhole = board.handle(call("b").build()).getSilentGateways();
    clock.advance(Duration.ofMillis(2_500));
    int onceLost = board.handle(call("b").build()).getSilentGateways();

    assertThat(List.of(whileNew, onceWhole, onceLost)).containsExactly(1, 0, 1).inOrder();
  }

  private BoardCall.Builder call(String vm) {
    return BoardCall.newBuilder()
        .setVm(vm)
        .setGatewayRun(1)
        .setNumber(++lastNumber)
        .setService("chat");
  }

  private static BoardCall.Builder knowing(BoardCall.Builder call, BoardAnswer known) {
    return call.setKnownRun(known.getRun()).setKnownVersion(known.getVersion());
  }

  private static BoardLoadData load(String id, int requests) {
    return BoardLoadData.newBuilder().setId(id).setRequests(requests).build();
  }

  private static BoardDemandData demand(String organisation, int heldUnits) {
    return BoardDemandData.newBuilder()
        .setOrganisation(organisation)
        .setHeldUnits(heldUnits)
        .build();
  }

  private static BoardLimitData limit(boolean observed, int sent, int eligible) {
    BoardLimitData.Builder limit =
        BoardLimitData.newBuilder()
            .setId("i-0")
            .setBornMillis(3)
            .setSent(sent)
            .setEligible(eligible);
    return (observed ? limit.setObserved(true).setRequestsPerSecond(2.4) : limit).build();
  }
}
