package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.cuminrack.generated.quorum.EntryBatchRecord;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.RecordCodec;

/** Reads one segment of the log. Only the last segment may end in an unfinished write. */
final class SegmentReader {
  private final Path path;
  private final boolean isLast;
  private final long snapshotIndex;
  private int intactBytes;
  private int lastFrameOffset;
  private byte[] lastFrame = {};
  private long highestIndex;

  /**
   * Creates a reader.
   *
   * @param snapshotIndex the index up to which a snapshot replaces the entries
   */
  SegmentReader(Path path, boolean isLast, long snapshotIndex) {
    this.path = path;
    this.isLast = isLast;
    this.snapshotIndex = snapshotIndex;
  }

  /** Returns the number of bytes from the start of the file that are intact frames. */
  long intactBytes() {
    return intactBytes;
  }

  /** Returns the last intact frame; empty if there is none. */
  byte[] lastFrame() {
    return lastFrame;
  }

  long lastFrameOffset() {
    return lastFrameOffset;
  }

  long highestIndex() {
    return highestIndex;
  }

  /** Adds the segment's entries to those of the previous segments, replacing overwritten ones. */
  void read(Disk disk, List<LogEntry> entries) throws IOException {
    byte[] bytes;
    try (DiskFile file = disk.open(path)) {
      bytes = file.readAll();
    }
    while (intactBytes < bytes.length) {
      Frame.Result result = Frame.read(bytes, intactBytes);
      if (!(result instanceof Frame.Result.Intact intact)) {
        checkIsTornTail(bytes, result);
        break;
      }
      EntryBatchRecord batch = EntryBatchRecord.parseFrom(intact.payload());
      if (batch.getEntriesCount() > 0) {
        addAll(RecordCodec.fromRecords(batch.getEntriesList()), entries);
      }
      lastFrameOffset = intactBytes;
      intactBytes = intact.end();
    }
    lastFrame = Arrays.copyOfRange(bytes, lastFrameOffset, intactBytes);
  }

  private void checkIsTornTail(byte[] bytes, Frame.Result result) throws IOException {
    boolean torn = result instanceof Frame.Result.Torn && isLast;
    if (!torn || Frame.hasFrameAfter(bytes, intactBytes)) {
      throw new CorruptionException(path, intactBytes, result.toString());
    }
  }

  private void addAll(List<LogEntry> batch, List<LogEntry> entries) throws IOException {
    long first = batch.get(0).index();
    if (!entries.isEmpty()) {
      long begin = entries.get(0).index();
      long next = begin + entries.size();
      if (first > next) {
        checkIsCovered(next, first);
        entries.clear();
      } else {
        int keptCount = (int) Math.max(0, first - begin);
        entries.subList(keptCount, entries.size()).clear();
      }
    }
    entries.addAll(batch);
    highestIndex = Math.max(highestIndex, batch.get(batch.size() - 1).index());
  }

  /**
   * Accepts a gap between entries that the snapshot replaces: of the segments deleted after a
   * snapshot, some may be there again after a loss of power.
   */
  private void checkIsCovered(long next, long first) throws IOException {
    if (first > snapshotIndex + 1) {
      throw new CorruptionException(
          path, intactBytes, "entry: expected index " + next + ", found " + first);
    }
  }
}
