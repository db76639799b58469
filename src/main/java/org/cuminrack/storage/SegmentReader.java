package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.cuminrack.generated.quorum.EntryBatchRecord;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.RecordCodec;

/** Reads one segment of the log. Only the last segment may end in an unfinished write. */
final class SegmentReader {
  private final Path path;
  private final boolean isLast;
  private int intactBytes;
  private long highestIndex;

  SegmentReader(Path path, boolean isLast) {
    this.path = path;
    this.isLast = isLast;
  }

  /** Returns the number of bytes from the start of the file that are intact frames. */
  long intactBytes() {
    return intactBytes;
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
        return;
      }
      EntryBatchRecord batch = EntryBatchRecord.parseFrom(intact.payload());
      addAll(RecordCodec.fromRecords(batch.getEntriesList()), entries);
      intactBytes = intact.end();
    }
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
        throw new CorruptionException(
            path, intactBytes, "entry: expected index " + next + ", found " + first);
      }
      int keptCount = (int) Math.max(0, first - begin);
      entries.subList(keptCount, entries.size()).clear();
    }
    entries.addAll(batch);
    highestIndex = Math.max(highestIndex, batch.get(batch.size() - 1).index());
  }
}
