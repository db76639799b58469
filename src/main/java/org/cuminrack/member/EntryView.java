package org.cuminrack.member;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.cuminrack.generated.control.FetchReply;

/** What an entry has put in force, and who wants to hear of it. Written by one thread. */
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

  /** Puts what control answered in force, listeners included; true where the view is a new one. */
  boolean take(FetchReply reply) {
    Optional<ClusterView> next = ViewUpdate.apply(view, reply);
    next.ifPresent(each -> view = each);
    boolean inForceMoved = advanceInForce(reply.getInForceRevision());
    if (next.isPresent() || inForceMoved) {
      notifyListeners();
    }
    return next.isPresent();
  }

  /** Takes a newer revision that is in force everywhere. */
  void takeInForce(long revision) {
    if (advanceInForce(revision)) {
      notifyListeners();
    }
  }

  /** Tells whether a session that this entry once had is no longer open. */
  boolean hasEnded(long sessionId) {
    ClusterView present = view;
    return present.revision() >= sessionId
        && present.members().stream().noneMatch(each -> each.sessionId() == sessionId);
  }

  private boolean advanceInForce(long revision) {
    if (revision <= inForceRevision) {
      return false;
    }
    inForceRevision = revision;
    return true;
  }

  private void notifyListeners() {
    ClusterView present = view;
    listeners.forEach(each -> each.accept(present));
  }
}
