package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cuminrack.generated.quorum.EntryBatchRecord;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.RecordCodec;

/**
 * The log entries in append-only segment files. A frame holds the entries of one sync; if it starts
 * at an index that already exists, it replaces all entries from that index on. Segments are
 * numbered in the order of creation.
 */
final class SegmentedLog implements AutoCloseable {
  static final String PREFIX = "log-";
  private static final long SEGMENT_BYTES = 8L << 20;

  private final Disk disk;
  private final Path folder;
  private final List<Segment> segments = new ArrayList<>();
  private DiskFile openFile;
  private long openFileBytes;

  /** A segment file and its highest entry index. */
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

  /** Reads all entries and truncates an unfinished write at the end. */
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
        openLast(segment, reader.intactBytes());
      }
    }
    return entries;
  }

  private void openLast(Segment segment, long intactBytes) throws IOException {
    openFile = disk.open(segment.path);
    openFileBytes = intactBytes;
    if (openFile.size() > intactBytes) {
      openFile.truncate(intactBytes);
      openFile.sync();
    }
  }

  /** Writes entries as one frame, without syncing; removes the partial frame of a failed write. */
  void write(List<LogEntry> entries) throws IOException {
    if (openFile == null || openFileBytes >= SEGMENT_BYTES) {
      openNew();
    }
    EntryBatchRecord batch =
        EntryBatchRecord.newBuilder().addAllEntries(RecordCodec.toRecords(entries)).build();
    byte[] frame = Frame.wrap(batch.toByteArray());
    try {
      openFile.write(openFileBytes, frame);
    } catch (IOException e) {
      openFile.truncate(openFileBytes);
      throw e;
    }
    openFileBytes += frame.length;
    Segment last = segments.get(segments.size() - 1);
    last.highestIndex = Math.max(last.highestIndex, entries.get(entries.size() - 1).index());
  }

  /** Makes written entries durable. */
  void sync() throws IOException {
    openFile.sync();
  }

  private void openNew() throws IOException {
    long number = segments.isEmpty() ? 1 : lastNumber() + 1;
    Path path = folder.resolve(NumberedFiles.name(PREFIX, number));
    DiskFile file = disk.open(path);
    disk.syncFolder(folder);
    if (openFile != null) {
      openFile.close();
    }
    openFile = file;
    openFileBytes = 0;
    segments.add(new Segment(path));
  }

  private long lastNumber() {
    return NumberedFiles.number(segments.get(segments.size() - 1).path, PREFIX);
  }

  /** Deletes the oldest segments without entries after an index; keeps the newest segment. */
  void deleteUpTo(long index) throws IOException {
    while (segments.size() > 1 && segments.get(0).highestIndex <= index) {
      disk.delete(segments.remove(0).path);
    }
  }

  /** Deletes all segments and starts an empty one. */
  void clear() throws IOException {
    if (segments.isEmpty()) {
      return;
    }
    long next = lastNumber() + 1;
    openFile.close();
    openFile = null;
    Path path = folder.resolve(NumberedFiles.name(PREFIX, next));
    openFile = disk.open(path);
    openFileBytes = 0;
    for (Segment segment : segments) {
      disk.delete(segment.path);
    }
    segments.clear();
    segments.add(new Segment(path));
    disk.syncFolder(folder);
  }

  @Override
  public void close() throws IOException {
    if (openFile != null) {
      openFile.close();
      openFile = null;
    }
  }
}
