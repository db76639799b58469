package org.cuminrack.quorum;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.cuminrack.quorum.internal.CoreView;

/** Converts the core's state to the status shown in the diagnostic dump. */
final class StatusFormat {

  private StatusFormat() {}

  static QuorumStatus statusOf(CoreView view, String corruption, String broken) {
    return new QuorumStatus(
        view.self().toString(),
        view.role().name().toLowerCase(Locale.ROOT).replace('_', '-'),
        view.term(),
        view.leader(),
        view.lastIndex(),
        view.syncedIndex(),
        view.commitIndex(),
        view.appliedIndex(),
        view.snapshotIndex(),
        votersOf(view),
        view.voters() != null && view.voters().isJoint(),
        view.diskFull(),
        corruption,
        broken);
  }

  private static Map<String, String> votersOf(CoreView view) {
    Map<String, String> voters = new TreeMap<>();
    if (view.voters() != null) {
      view.voters()
          .incarnations()
          .forEach((vmName, incarnation) -> voters.put(vmName, Long.toHexString(incarnation)));
    }
    return voters;
  }
}
