package org.cuminrack.fleet;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * The control VMs that one of them knows, by wire address.
 *
 * @param own the address of the VM that knows them
 * @param ownDataCentre that VM's data centre
 * @param dataCentreByVoter the voters' data centres; empty where unknown
 * @param votersIndex the index of the log entry that set the voters; 0 without a group
 * @param learners VMs that have the log and do not vote; only the leader knows them
 */
public record ControlVms(
    String own,
    String ownDataCentre,
    Map<String, String> dataCentreByVoter,
    long votersIndex,
    Set<String> learners) {

  public ControlVms {
    dataCentreByVoter = Map.copyOf(dataCentreByVoter);
    learners = Set.copyOf(learners);
  }

  /** Returns the addresses of all voters. */
  Set<String> voters() {
    return new TreeSet<>(dataCentreByVoter.keySet());
  }

  /** Returns a number other than 0 that differs if the voters, their index or learners differ. */
  int fingerprint() {
    int hash = Objects.hash(votersIndex, dataCentreByVoter.keySet(), learners);
    return hash == 0 ? 1 : hash;
  }

  /** Returns the addresses of all known control VMs without this one. */
  Set<String> others() {
    Set<String> others = voters();
    others.addAll(learners);
    others.remove(own);
    return others;
  }

  /** Returns the addresses of the voters without this VM. */
  Set<String> otherVoters() {
    Set<String> others = voters();
    others.remove(own);
    return others;
  }
}
