package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cuminrack.generated.quorum.EntryBatchRecord;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.RecordCodec;

/**
 * The log's entries in files that are only appended to. A frame holds the entries of one sync;
 * where its first entry's index is not a new one, it replaces all that stood from there on. Files
 * are numbered in the order of their making.
 */
final class SegmentedLog implements AutoCloseable {
  static final String PREFIX = "log-";
  private static final long SEGMENT_BYTES = 8L << 20;

  private final Disk disk;
  private final Path folder;
  private final List<Segment> segments = new ArrayList<>();
  private DiskFile open;
  private long length;

  /** A file and the highest index in it. */
  private static final class Segment {
    final Path path;
    long highestIndex;

    Segment(Path path) {
      this.path = path;
    }
  }

  SegmentedLog(Disk disk, Path folder) {
    this.disk = disk;
    this.folder = folder;
  }

  /** Reads all entries and cuts an unfinished write off the end. */
  List<LogEntry> recover() throws IOException {
    List<LogEntry> entries = new ArrayList<>();
    List<Path> files = NumberedFiles.list(folder, PREFIX);
    for (int i = 0; i < files.size(); i++) {
      boolean isLast = i == files.size() - 1;
      Segment segment = new Segment(files.get(i));
      SegmentReader reader = new SegmentReader(segment.path, isLast);
      reader.read(disk, entries);
      segment.highestIndex = reader.highestIndex();
      segments.add(segment);
      if (isLast) {
        openLast(segment, reader.goodBytes());
      }
    }
    return entries;
  }

  private void openLast(Segment segment, long goodBytes) throws IOException {
    open = disk.open(segment.path);
    length = goodBytes;
    if (open.size() > goodBytes) {
      open.truncate(goodBytes);
      open.sync();
    }
  }

  /** Writes entries as one frame, without syncing; after a failure all is as it was before. */
  void write(List<LogEntry> entries) throws IOException {
    if (open == null || length >= SEGMENT_BYTES) {
      openNew();
    }
    EntryBatchRecord batch =
        EntryBatchRecord.newBuilder().addAllEntries(RecordCodec.toRecords(entries)).build();
    byte[] frame = Frame.wrap(batch.toByteArray());
    try {
      open.write(length, frame);
    } catch (IOException e) {
      open.truncate(length);
      throw e;
    }
    length += frame.length;
    Segment last = segments.get(segments.size() - 1);
    last.highestIndex = Math.max(last.highestIndex, entries.get(entries.size() - 1).index());
  }

  /** Makes what was written last. */
  void sync() throws IOException {
    open.sync();
  }

  private void openNew() throws IOException {
    long number = segments.isEmpty() ? 1 : lastNumber() + 1;
    Path path = folder.resolve(NumberedFiles.name(PREFIX, number));
    DiskFile file = disk.open(path);
    disk.syncFolder(folder);
    if (open != null) {
      open.close();
    }
    open = file;
    length = 0;
    segments.add(new Segment(path));
  }

  private long lastNumber() {
    return NumberedFiles.number(segments.get(segments.size() - 1).path, PREFIX);
  }

  /** Drops the oldest files that hold nothing after an index; the newest file stays. */
  void dropUpTo(long index) throws IOException {
    while (segments.size() > 1 && segments.get(0).highestIndex <= index) {
      disk.delete(segments.remove(0).path);
    }
  }

  /** Drops all files. */
  void clear() throws IOException {
    if (segments.isEmpty()) {
      return;
    }
    long next = lastNumber() + 1;
    open.close();
    open = null;
    Path path = folder.resolve(NumberedFiles.name(PREFIX, next));
    open = disk.open(path);
    length = 0;
    for (Segment segment : segments) {
      disk.delete(segment.path);
    }
    segments.clear();
    segments.add(new Segment(path));
    disk.syncFolder(folder);
  }

  @Override
  public void close() throws IOException {
    if (open != null) {
      open.close();
      open = null;
    }
  }
}
