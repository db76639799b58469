package org.cuminrack.quorum.internal;

import java.util.Collection;
import java.util.Collections;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Which VMs form the group and which may join it.
 *
 * @param founders the VMs that form the group, ordered by name
 * @param openToNewVms whether the group is open: VMs that are not founders may replace lost voters
 * @param mayFormGroup whether this replica may take part in forming a new group
 */
public record MembershipPolicy(
    NavigableSet<String> founders, boolean openToNewVms, boolean mayFormGroup) {

  public MembershipPolicy {
    founders = Collections.unmodifiableNavigableSet(new TreeSet<>(founders));
  }

  public MembershipPolicy(Collection<String> founders, boolean openToNewVms, boolean mayFormGroup) {
    this(new TreeSet<>(founders), openToNewVms, mayFormGroup);
  }

  /** Returns the policy of a group whose VMs never change. */
  public static MembershipPolicy closed(Collection<String> founders) {
    return new MembershipPolicy(founders, false, true);
  }

  /** Returns whether a VM may be a member of the group. */
  public boolean mayBeMember(String vmName) {
    return openToNewVms || founders.contains(vmName);
  }
}
