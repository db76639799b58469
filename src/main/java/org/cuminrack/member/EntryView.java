package org.cuminrack.member;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.cuminrack.generated.control.FetchReply;

/** The cluster view that an entry has applied, with its listeners. Written by one thread. */
final class EntryView {
  private final List<Consumer<ClusterView>> listeners = new CopyOnWriteArrayList<>();
  private volatile ClusterView view = ClusterView.empty();
  private volatile long inForceRevision;

  ClusterView view() {
    return view;
  }

  long inForceRevision() {
    return inForceRevision;
  }

  void onChange(Consumer<ClusterView> listener) {
    listeners.add(listener);
  }

  /** Applies a fetch reply and notifies the listeners; returns whether the view changed. */
  boolean apply(FetchReply reply) {
    Optional<ClusterView> updated = ViewUpdate.apply(view, reply);
    updated.ifPresent(newView -> view = newView);
    boolean inForceAdvanced = advanceInForce(reply.getInForceRevision());
    if (updated.isPresent() || inForceAdvanced) {
      notifyListeners();
    }
    return updated.isPresent();
  }

  /** Updates the in-force revision: the highest that every entry with a lease has applied. */
  void updateInForce(long revision) {
    if (advanceInForce(revision)) {
      notifyListeners();
    }
  }

  /** Returns whether a session has ended; false while the view is older than the session. */
  boolean hasEnded(long sessionId) {
    ClusterView current = view;
    return current.revision() >= sessionId
        && current.members().stream().noneMatch(member -> member.sessionId() == sessionId);
  }

  private boolean advanceInForce(long revision) {
    if (revision <= inForceRevision) {
      return false;
    }
    inForceRevision = revision;
    return true;
  }

  private void notifyListeners() {
    ClusterView current = view;
    listeners.forEach(listener -> listener.accept(current));
  }
}
