package org.cuminrack.control;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.cuminrack.generated.control.DepartureRequest;

/** What runs on the log's thread after a change of the replicated state. */
final class StateListeners {
  private volatile Runnable revisionListener = () -> {};
  private volatile Runnable routingListener = () -> {};
  private volatile Runnable suspectListener = () -> {};
  private volatile Consumer<Collection<DepartureRequest>> departureListener = departures -> {};

  void onRevision(Runnable listener) {
    revisionListener = listener;
  }

  void onRouting(Runnable listener) {
    routingListener = listener;
  }

  void onSuspects(Runnable listener) {
    suspectListener = listener;
  }

  void onDepartures(Consumer<Collection<DepartureRequest>> listener) {
    departureListener = listener;
  }

  /** Runs the listeners of what differs between two versions. */
  void runChanged(Versions before, Versions after) {
    if (before.revision != after.revision) {
      revisionListener.run();
    }
    if (before.routingRevision != after.routingRevision) {
      routingListener.run();
    }
    if (before.suspectsRevision != after.suspectsRevision) {
      suspectListener.run();
    }
  }

  void departed(DepartureRequest departure) {
    departureListener.accept(List.of(departure));
  }

  /** Runs all listeners, after the whole state was replaced. */
  void runAll(Collection<DepartureRequest> departures) {
    revisionListener.run();
    routingListener.run();
    suspectListener.run();
    departureListener.accept(departures);
  }

  /** The log indexes of the last changes. */
  record Versions(long revision, long routingRevision, long suspectsRevision) {}
}
