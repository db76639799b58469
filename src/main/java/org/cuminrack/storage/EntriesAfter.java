package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.SnapshotImage;

/** Fits the entries that were found on disk to the snapshot that was found beside them. */
final class EntriesAfter {

  private EntriesAfter() {}

  /**
   * Returns the entries after the snapshot. None are left if the log is another one, which happens
   * when the process ended between taking over a leader's snapshot and dropping its own log.
   */
  static List<LogEntry> snapshot(SnapshotImage snapshot, List<LogEntry> entries, Path folder)
      throws IOException {
    if (entries.isEmpty()) {
      return List.of();
    }
    if (snapshot == null) {
      throw new CorruptionException(folder.resolve("snapshot"), 0, "missing beside a log");
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
    int after = (int) (snapshot.index() + 1 - first);
    boolean continues = after == 0 || entries.get(after - 1).term() == snapshot.term();
    return continues ? List.copyOf(entries.subList(after, entries.size())) : List.of();
  }
}
