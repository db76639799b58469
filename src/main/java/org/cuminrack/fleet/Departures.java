package org.cuminrack.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.control.ControlState;
import org.cuminrack.generated.control.DepartureRequest;

/**
 * The departures of upstreams in the replicated state, as a control VM applies them to the
 * announcements that it receives. Thread-safe.
 */
final class Departures {
  private final ControlState state;
  private final DepartureStore store;

  Departures(ControlState state, DepartureStore store) {
    this.state = state;
    this.store = store;
  }

  /**
   * Returns an announcement, changed to what the stored departure of its upstream makes of it. A
   * later incarnation under the same id is not concerned.
   */
  UpstreamRecord correct(UpstreamRecord announced) {
    Optional<DepartureRequest> stored =
        state
            .departure(announced.id())
            .filter(departure -> departure.getStartedMillis() >= announced.startedMillis());
    if (stored.isEmpty()) {
      return announced;
    }
    DepartureRequest departure = stored.get();
    boolean ofLaterIncarnation = departure.getStartedMillis() > announced.startedMillis();
    if (ofLaterIncarnation || departure.getLeft()) {
      return announced.withPhase(UpstreamPhase.LEFT);
    }
    boolean isOlder = announced.sequence() <= departure.getSequence();
    return announced.phase() == UpstreamPhase.READY && isOlder
        ? announced.drainingSince(departure.getSequence())
        : announced;
  }

  /**
   * Stores that an upstream drains or has left; completes with true once that survives the end of
   * all processes.
   *
   * @param isNews whether this VM did not know it before
   */
  CompletableFuture<Boolean> store(UpstreamRecord departing, boolean isNews) {
    DepartureRequest departure =
        DepartureRequest.newBuilder()
            .setUpstream(departing.id())
            .setStartedMillis(departing.startedMillis())
            .setSequence(departing.sequence())
            .setLeft(departing.phase() == UpstreamPhase.LEFT)
            .build();
    boolean isStored =
        state
            .departure(departing.id())
            .filter(stored -> includes(stored, departure, isNews))
            .isPresent();
    return isStored ? CompletableFuture.completedFuture(true) : store.store(departure);
  }

  /**
   * Returns whether a stored departure makes another one needless. An upstream repeats with new
   * numbers that it drains; these are news only if it was ready in between.
   */
  private static boolean includes(
      DepartureRequest stored, DepartureRequest departure, boolean isNews) {
    if (stored.getStartedMillis() != departure.getStartedMillis()) {
      return stored.getStartedMillis() > departure.getStartedMillis();
    }
    boolean sequenceIncluded = !isNews || stored.getSequence() >= departure.getSequence();
    return stored.getLeft() || (!departure.getLeft() && sequenceIncluded);
  }

  /** Returns the departures that are not older than a limit, without what else was announced. */
  List<UpstreamRecord> within(Duration limit, long nowNanos) {
    return state.departuresWithin(limit).stream()
        .map(
            departure ->
                UpstreamRecord.departed(
                    departure.getUpstream(),
                    departure.getLeft() ? UpstreamPhase.LEFT : UpstreamPhase.DRAINING,
                    departure.getStartedMillis(),
                    departure.getSequence(),
                    nowNanos))
        .toList();
  }
}
