package org.cuminrack.quorum.internal;

import java.util.Collection;
import java.util.Collections;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.cuminrack.quorum.LossTolerance;

/**
 * Which VMs form the group, which may join it, and what the group has to tolerate.
 *
 * @param founders the VMs that form the group, ordered by name
 * @param openToNewVms whether the group is open: VMs that are not founders may become voters
 * @param mayFormGroup whether this replica may take part in forming a new group
 * @param tolerance the losses that an open group tolerates once it has enough voters
 * @param dataCentre the data centre of this replica; empty if unknown
 */
public record MembershipPolicy(
    NavigableSet<String> founders,
    boolean openToNewVms,
    boolean mayFormGroup,
    LossTolerance tolerance,
    String dataCentre) {

  public MembershipPolicy {
    founders = Collections.unmodifiableNavigableSet(new TreeSet<>(founders));
  }

  public MembershipPolicy(
      Collection<String> founders,
      boolean openToNewVms,
      boolean mayFormGroup,
      LossTolerance tolerance,
      String dataCentre) {
    this(new TreeSet<>(founders), openToNewVms, mayFormGroup, tolerance, dataCentre);
  }

  /** Creates the policy of a group that tolerates the loss of a minority of its founders. */
  public MembershipPolicy(Collection<String> founders, boolean openToNewVms, boolean mayFormGroup) {
    this(founders, openToNewVms, mayFormGroup, LossTolerance.ofMinority(founders.size()), "");
  }

  /** Returns the policy of a group whose VMs never change. */
  public static MembershipPolicy closed(Collection<String> founders) {
    return new MembershipPolicy(founders, false, true);
  }

  /** Returns whether a VM may be a member of the group. */
  public boolean mayBeMember(String vmName) {
    return openToNewVms || founders.contains(vmName);
  }

  /** Returns whether voters tolerate the losses, or no others may be added to them. */
  public boolean isSatisfiedBy(VoterSet voters) {
    if (!openToNewVms) {
      return true;
    }
    return !voters.isJoint()
        && voters.size() >= tolerance.voterCount()
        && tolerance.majoritySurvivesDataCentreLosses(voters.voterDataCentres());
  }
}
