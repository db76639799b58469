package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.SnapshotImage;

/** Matches the entries recovered from disk against the recovered snapshot. */
final class LogTail {

  private LogTail() {}

  /**
   * Returns the entries after the snapshot. Returns none if the log does not continue the snapshot,
   * which happens when the process stops after installing a leader's snapshot and before deleting
   * its own log.
   */
  static List<LogEntry> afterSnapshot(SnapshotImage snapshot, List<LogEntry> entries, Path folder)
      throws IOException {
    if (entries.isEmpty()) {
      return List.of();
    }
    if (snapshot == null) {
      throw new CorruptionException(
          folder.resolve("snapshot"), 0, "missing, but the log has entries");
    }
    long first = entries.get(0).index();
    long last = entries.get(entries.size() - 1).index();
    if (first > snapshot.index() + 1) {
      throw new CorruptionException(
          folder.resolve(SegmentedLog.PREFIX),
          0,
          "entry: expected index up to " + (snapshot.index() + 1) + ", found " + first);
    }
    if (last < snapshot.index()) {
      return List.of();
    }
    int firstKeptPosition = (int) (snapshot.index() + 1 - first);
    boolean continues =
        firstKeptPosition == 0 || entries.get(firstKeptPosition - 1).term() == snapshot.term();
    return continues ? List.copyOf(entries.subList(firstKeptPosition, entries.size())) : List.of();
  }
}
