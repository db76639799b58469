package org.cuminrack.sharing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.cuminrack.sharing.SimulatedBoards.SimulatedGateway;
import org.junit.jupiter.api.Test;

/** The cost of the exchange, and how well gateways know each other's load under it. */
class BoardCostTest {
  private static final int UPSTREAMS = 22;
  private static final int SECONDS = 20;
  private static final int RUN_MILLIS = 2_000;

  /** Requests a second of all gateways: each upstream has about six at a time. */
  private static final int RATE = UPSTREAMS * 3;

  /** Calls for a request: a question, its begin and its end, with some for repetition. */
  private static final double MAX_CALLS_PER_REQUEST = 3;

  private static final double MAX_REPEATS_PER_SECOND = 2;

  private static final double MAX_BYTES_PER_REQUEST = 1_000;

  /** The part of the requests that may meet more than one other on the emptiest upstream. */
  private static final double MAX_OVERFILLED = 0.01;

  @Test
  void shouldCostNoMoreWithMoreGateways() {
    for (int gatewayCount : List.of(6, 30, 120)) {
      SimulatedBoards boards = SimulatedBoards.of(gatewayCount, UPSTREAMS);
      play(boards, new ArrayList<>());

      double requestsPerGateway = (double) RATE / gatewayCount;
      double callsPerGateway = (double) boards.calls / SECONDS / gatewayCount;
      double bytesPerRequest = (double) boards.bytes / SECONDS / RATE;
      assertWithMessage("calls a second of each of %s gateways", gatewayCount)
          .that(callsPerGateway)
          .isAtMost(MAX_CALLS_PER_REQUEST * requestsPerGateway + MAX_REPEATS_PER_SECOND);
      assertWithMessage("bytes a request of %s gateways", gatewayCount)
          .that(bytesPerRequest)
          .isAtMost(MAX_BYTES_PER_REQUEST);
    }
  }

  @Test
  void shouldNotCallWhileNothingIsToBeTold() {
    SimulatedBoards boards = SimulatedBoards.of(30, UPSTREAMS);
    play(boards, new ArrayList<>());
    boards.run(Duration.ofMillis(RUN_MILLIS + 1_000));
    long before = boards.calls;

    boards.run(Duration.ofSeconds(60));

    assertThat(boards.calls).isEqualTo(before);
  }

  @Test
  void shouldNotOverfillAnEngineWhoseLastPlaceTwoGatewaysSee() {
    SimulatedBoards boards = SimulatedBoards.of(6, UPSTREAMS);
    List<Integer> excess = new ArrayList<>();

    play(boards, excess);

    long overfilled = excess.stream().filter(requests -> requests > 1).count();
    assertThat((double) overfilled / excess.size()).isAtMost(MAX_OVERFILLED);
  }

  /**
   * Plays requests that go to the upstream with the fewest, at a random gateway each.
   *
   * @param excess receives how many requests more than the emptiest each chosen upstream had
   */
  private static void play(SimulatedBoards boards, List<Integer> excess) {
    Map<String, Integer> running = new HashMap<>();
    for (int i = 0; i < RATE * SECONDS; i++) {
      SimulatedGateway gateway = boards.gateways.get(boards.random.nextInt(boards.gateways.size()));
      boards.after(
          boards.random.nextInt(SECONDS * 1_000),
          () ->
              gateway.clients.refresh(
                  SimulatedBoards.SERVICE, () -> place(boards, gateway, running, excess)));
    }
    boards.run(Duration.ofSeconds(SECONDS));
  }

  private static void place(
      SimulatedBoards boards,
      SimulatedGateway gateway,
      Map<String, Integer> running,
      List<Integer> excess) {
    List<String> best = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      String id = "i-" + i;
      if (best.isEmpty() || gateway.requestsOn(id) < gateway.requestsOn(best.get(0))) {
        best.clear();
      }
      if (best.isEmpty() || gateway.requestsOn(id) == gateway.requestsOn(best.get(0))) {
        best.add(id);
      }
    }
    String chosen = best.get(boards.random.nextInt(best.size()));
    gateway.begin(chosen, 100);
    int emptiest =
        IntStream.range(0, UPSTREAMS)
            .map(index -> running.getOrDefault("i-" + index, 0))
            .min()
            .getAsInt();
    excess.add(running.getOrDefault(chosen, 0) - emptiest);
    running.merge(chosen, 1, Integer::sum);
    boards.after(
        RUN_MILLIS,
        () -> {
          gateway.end(chosen, 100);
          running.merge(chosen, -1, Integer::sum);
        });
  }
}
