package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.cuminrack.generated.quorum.EntryBatchRecord;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.RecordCodec;

/** Reads one file of the log. Only the end of the last file may be an unfinished write. */
final class SegmentReader {
  private final Path path;
  private final boolean isLast;
  private int goodBytes;
  private long highestIndex;

  SegmentReader(Path path, boolean isLast) {
    this.path = path;
    this.isLast = isLast;
  }

  /** How many bytes from the beginning are whole frames. */
  long goodBytes() {
    return goodBytes;
  }

  long highestIndex() {
    return highestIndex;
  }

  /** Adds the file's entries to those of the files before. */
  void read(Disk disk, List<LogEntry> entries) throws IOException {
    byte[] bytes;
    try (DiskFile file = disk.open(path)) {
      bytes = file.readAll();
    }
    while (goodBytes < bytes.length) {
      Frame.Result result = Frame.read(bytes, goodBytes);
      if (!(result instanceof Frame.Result.Good good)) {
        checkIsTornTail(bytes, result);
        return;
      }
      EntryBatchRecord batch = EntryBatchRecord.parseFrom(good.payload());
      addAll(RecordCodec.fromRecords(batch.getEntriesList()), entries);
      goodBytes = good.end();
    }
  }

  private void checkIsTornTail(byte[] bytes, Frame.Result result) throws IOException {
    boolean torn = result instanceof Frame.Result.Torn && isLast;
    if (!torn || Frame.anyAfter(bytes, goodBytes)) {
      throw new CorruptionException(path, goodBytes, result.toString());
    }
  }

  private void addAll(List<LogEntry> batch, List<LogEntry> entries) throws IOException {
    long first = batch.get(0).index();
    if (!entries.isEmpty()) {
      long begin = entries.get(0).index();
      long next = begin + entries.size();
      if (first > next) {
        throw new CorruptionException(
            path, goodBytes, "entry: expected index " + next + ", found " + first);
      }
      int kept = (int) Math.max(0, first - begin);
      entries.subList(kept, entries.size()).clear();
    }
    entries.addAll(batch);
    highestIndex = Math.max(highestIndex, batch.get(batch.size() - 1).index());
  }
}
