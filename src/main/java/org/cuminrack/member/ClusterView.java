package org.cuminrack.member;

import java.util.List;
import java.util.Map;
import org.cuminrack.config.Configuration;

/**
 * The replicated state that an entry works by, at one revision. Immutable.
 *
 * @param revision the log index this view stands at
 * @param epoch the revision at which members last changed
 * @param members entries with a session, ordered by name
 * @param suspects crashes counted by fingerprint, as hex
 */
public record ClusterView(
    long revision,
    long epoch,
    Configuration configuration,
    List<EntryMember> members,
    Map<String, Integer> suspects) {

  /** The view of an entry that has not heard from control yet. */
  public static ClusterView empty() {
    return new ClusterView(0, 0, Configuration.empty(), List.of(), Map.of());
  }
}
