package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;

import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.control.DepartureRequest;
import org.junit.jupiter.api.Test;

class DepartureStateTest {
  private final ControlState state = new ControlState();
  private long index;

  @Test
  void shouldKeepADepartureInASnapshot() {
    record(departure("i-1", 100, 5, true), 1_000);
    ControlState restored = new ControlState();

    restored.restore(index, state.snapshot());

    assertThat(restored.departure("i-1")).hasValue(departure("i-1", 100, 5, true));
  }

  @Test
  void shouldKeepTheLatestIncarnation() {
    record(departure("i-1", 200, 1, false), 1_000);
    record(departure("i-1", 100, 9, true), 2_000);
    assertThat(state.departure("i-1")).hasValue(departure("i-1", 200, 1, false));

    record(departure("i-1", 300, 1, false), 3_000);
    assertThat(state.departure("i-1")).hasValue(departure("i-1", 300, 1, false));
  }

  @Test
  void shouldNotTakeBackThatAnUpstreamHasLeft() {
    record(departure("i-1", 100, 5, true), 1_000);
    record(departure("i-1", 100, 7, false), 2_000);

    assertThat(state.departure("i-1")).hasValue(departure("i-1", 100, 7, true));
  }

  @Test
  void shouldForgetADepartureAfterTheRetention() {
    record(departure("i-1", 100, 5, true), 1_000);
    record(departure("i-2", 100, 5, true), 1_000 + DepartureState.RETENTION.toMillis());
    assertThat(state.departure("i-1")).isPresent();

    record(departure("i-3", 100, 5, true), 1_001 + DepartureState.RETENTION.toMillis());

    assertThat(state.departure("i-1")).isEmpty();
    assertThat(state.departure("i-2")).isPresent();
  }

  @Test
  void shouldForgetTheOldestOfTooManyDepartures() {
    for (int i = 0; i <= DepartureState.MAX_DEPARTURES; i++) {
      record(departure("i-" + i, 100, 5, true), 1_000);
    }

    assertThat(state.departureCount()).isEqualTo(DepartureState.MAX_DEPARTURES);
    assertThat(state.departure("i-0")).isEmpty();
    assertThat(state.departure("i-1")).isPresent();
  }

  private void record(DepartureRequest departure, long timeMillis) {
    index++;
    Command command =
        Command.newBuilder().setTimeMillis(timeMillis).setDeparture(departure).build();
    state.apply(index, command.toByteArray());
  }

  private static DepartureRequest departure(
      String upstream, long startedMillis, long sequence, boolean left) {
    return DepartureRequest.newBuilder()
        .setUpstream(upstream)
        .setStartedMillis(startedMillis)
        .setSequence(sequence)
        .setLeft(left)
        .build();
  }
}
