package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.cuminrack.member.ClusterView;
import org.cuminrack.member.Membership;

/** The membership as seen by one entry of a {@link FakeCluster}. */
final class FakeMembership implements Membership {
  private final List<Consumer<ClusterView>> listeners = new ArrayList<>();
  private final long sessionId;
  private ClusterView view = ClusterView.empty();
  private long inForceRevision;
  boolean validLease = true;

  FakeMembership(long sessionId) {
    this.sessionId = sessionId;
  }

  void putInForce(ClusterView next) {
    view = next;
    listeners.forEach(each -> each.accept(next));
  }

  void setInForceRevision(long revision) {
    inForceRevision = revision;
  }

  @Override
  public boolean hasValidLease() {
    return validLease;
  }

  @Override
  public ClusterView view() {
    return view;
  }

  @Override
  public long inForceRevision() {
    return inForceRevision;
  }

  @Override
  public long sessionId() {
    return sessionId;
  }

  @Override
  public void onChange(Consumer<ClusterView> listener) {
    listeners.add(listener);
  }
}
