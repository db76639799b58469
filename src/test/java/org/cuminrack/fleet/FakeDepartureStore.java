package org.cuminrack.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.control.ControlState;
import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.control.DepartureRequest;

/** Stores departures in the states of some control VMs, as a quorum that can be lost. */
final class FakeDepartureStore implements DepartureStore {
  final List<DepartureRequest> stored = new ArrayList<>();
  private final List<ControlState> states;
  private boolean hasQuorum = true;
  private long index;

  FakeDepartureStore(ControlState... states) {
    this.states = List.of(states);
  }

  void loseQuorum() {
    hasQuorum = false;
  }

  @Override
  public CompletableFuture<Boolean> store(DepartureRequest departure) {
    if (hasQuorum) {
      stored.add(departure);
      index++;
      byte[] command = Command.newBuilder().setDeparture(departure).build().toByteArray();
      states.forEach(state -> state.apply(index, command));
    }
    return CompletableFuture.completedFuture(hasQuorum);
  }
}
