package org.cuminrack.member;

import java.util.List;
import java.util.Map;
import org.cuminrack.config.Configuration;

/**
 * An entry's copy of the replicated state at one revision. Immutable.
 *
 * @param revision the log index of the last applied change
 * @param epoch the revision of the last membership change
 * @param members entries with an open session, ordered by name
 * @param suspects crash counts of requests, by hex fingerprint of the request
 */
public record ClusterView(
    long revision,
    long epoch,
    Configuration configuration,
    List<EntryMember> members,
    Map<String, Integer> suspects) {

  /** Returns the view of an entry that has not fetched any state yet. */
  public static ClusterView empty() {
    return new ClusterView(0, 0, Configuration.empty(), List.of(), Map.of());
  }

  /** Returns whether the entry has not fetched any state yet. */
  public boolean isEmpty() {
    return revision == 0;
  }
}
