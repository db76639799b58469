package org.cuminrack.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.Configuration;
import org.cuminrack.config.Organisation;
import org.cuminrack.config.Route;
import org.cuminrack.config.Service;
import org.cuminrack.config.ServiceKind;
import org.cuminrack.config.VersionedObject;
import org.cuminrack.member.ClusterView;
import org.cuminrack.member.EntryMember;
import org.cuminrack.member.Membership;

/** A membership controlled by the test, with three organisations and two routes. */
final class FakeMembership implements Membership {
  private volatile boolean leaseValid = true;

  /**
   * Results of the next calls of {@link #hasValidLease}; {@link #leaseValid} applies afterwards.
   */
  private final List<Boolean> nextLeaseResults = new ArrayList<>();

  private volatile ClusterView view = view(List.of());

  void setLeaseValid(boolean valid) {
    leaseValid = valid;
  }

  synchronized void addNextLeaseResults(Boolean... results) {
    nextLeaseResults.addAll(List.of(results));
  }

  void setMembers(EntryMember... members) {
    view = view(List.of(members));
  }

  /** Clears the view, as of an entry that has just started. */
  void clearView() {
    view = ClusterView.empty();
  }

  private static ClusterView view(List<EntryMember> members) {
    List<ConfigObject> objects =
        List.of(
            new Organisation("lyzicka", 1, 200, null),
            new Organisation("small", 1, 1, null),
            new Organisation(
                "keyed",
                1,
                10,
                // SHA-256 of "secret"
                "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"),
            new Service("meal-planner", ServiceKind.GENERATION, false),
            new Service("shop", ServiceKind.PLAIN, true),
            new Route("planner", "meal-planner", Set.of(), 5_000, 4_096),
            new Route("orders", "shop", Set.of("GET"), 5_000, 4_096));
    List<VersionedObject> versioned =
        objects.stream().map(object -> new VersionedObject(object, 1)).toList();
    return new ClusterView(1, 1, Configuration.of(1, versioned), members, Map.of());
  }

  @Override
  public synchronized boolean hasValidLease() {
    return nextLeaseResults.isEmpty() ? leaseValid : nextLeaseResults.remove(0);
  }

  @Override
  public ClusterView view() {
    return view;
  }

  @Override
  public long inForceRevision() {
    return 1;
  }

  @Override
  public long sessionId() {
    return 1;
  }

  @Override
  public void onChange(Consumer<ClusterView> listener) {}
}
