package org.cuminrack.quorum.internal;

import java.util.Collection;
import java.util.Collections;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Who forms the group and who may join it.
 *
 * @param founders the VMs that form the group together, ordered by name
 * @param open whether VMs that are not founders may take the place of lost voters
 * @param mayForm whether this replica may take part in forming a new group
 */
public record Admission(NavigableSet<String> founders, boolean open, boolean mayForm) {

  public Admission {
    founders = Collections.unmodifiableNavigableSet(new TreeSet<>(founders));
  }

  public Admission(Collection<String> founders, boolean open, boolean mayForm) {
    this(new TreeSet<>(founders), open, mayForm);
  }

  /** Returns the admission of a group whose VMs never change. */
  public static Admission closed(Collection<String> founders) {
    return new Admission(founders, false, true);
  }

  /** Tells whether a VM may take part. */
  public boolean admits(String vmName) {
    return open || founders.contains(vmName);
  }
}
