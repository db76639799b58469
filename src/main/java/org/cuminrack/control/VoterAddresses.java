package org.cuminrack.control;

import java.util.Set;
import java.util.TreeSet;

/**
 * The control VMs that vote on the replicated log. While voters are added or replaced, the previous
 * ones vote too, and a quorum is a majority of each.
 *
 * @param addresses the voters' wire addresses, including this VM's
 * @param previous the previous voters' wire addresses; empty unless voters are being changed
 */
public record VoterAddresses(Set<String> addresses, Set<String> previous) {

  public VoterAddresses {
    addresses = Set.copyOf(addresses);
    previous = Set.copyOf(previous);
  }

  /** Returns whether voters are being added or replaced. */
  boolean changing() {
    return !previous.isEmpty();
  }

  /** Returns the addresses of all current and previous voters. */
  Set<String> all() {
    Set<String> all = new TreeSet<>(addresses);
    all.addAll(previous);
    return all;
  }

  /** Returns the number of current voters that make up a majority. */
  int majority() {
    return majorityOf(addresses);
  }

  /** Returns the number of previous voters that make up a majority; 0 if there are none. */
  int majorityOfPrevious() {
    return changing() ? majorityOf(previous) : 0;
  }

  private static int majorityOf(Set<String> voters) {
    return voters.size() / 2 + 1;
  }
}
