package org.cuminrack.storage;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cuminrack.generated.quorum.EntryBatchRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.RecordCodec;

/**
 * The log entries in append-only segment files. A frame holds the entries of one sync; if it starts
 * at an index that already exists, it replaces all entries from that index on. Segments are
 * numbered in the order of creation. A segment that begins with an empty frame makes all earlier
 * segments obsolete.
 */
final class SegmentedLog implements AutoCloseable {
  static final String PREFIX = "log-";
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long SEGMENT_BYTES = 8L << 20;
  private static final byte[] EMPTY_FRAME = Frame.wrap(new byte[0]);

  private final Disk disk;
  private final Path folder;
  private final List<Segment> segments = new ArrayList<>();

  /** Segments whose entries are no longer needed and that are not deleted yet. */
  private final List<Path> obsoleteFiles = new ArrayList<>();

  private long lastNumber;
  private DiskFile openFile;
  private long syncedBytes;

  /** Whether the open file may hold something after the synced bytes. */
  private boolean hasUnsyncedTail;

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

  /**
   * Reads all entries and truncates an unfinished write at the end.
   *
   * @param snapshotIndex the index up to which a snapshot replaces the entries; 0 if there is none
   */
  List<LogEntry> recover(long snapshotIndex) throws IOException {
    List<LogEntry> entries = new ArrayList<>();
    List<Path> files = withoutObsolete(NumberedFiles.list(folder, PREFIX));
    for (int i = 0; i < files.size(); i++) {
      boolean isLast = i == files.size() - 1;
      Segment segment = new Segment(files.get(i));
      SegmentReader reader = new SegmentReader(segment.path, isLast, snapshotIndex);
      reader.read(disk, entries);
      segment.highestIndex = reader.highestIndex();
      segments.add(segment);
      if (isLast) {
        openLast(segment, reader);
      }
    }
    return entries;
  }

  /** Returns the files from the last one on that begins with an empty frame, or else all. */
  private List<Path> withoutObsolete(List<Path> files) throws IOException {
    if (!files.isEmpty()) {
      lastNumber = NumberedFiles.number(files.get(files.size() - 1), PREFIX);
    }
    for (int i = files.size() - 1; i > 0; i--) {
      if (startsWithEmptyFrame(files.get(i))) {
        obsoleteFiles.addAll(files.subList(0, i));
        return files.subList(i, files.size());
      }
    }
    return files;
  }

  private boolean startsWithEmptyFrame(Path path) throws IOException {
    try (DiskFile file = disk.open(path)) {
      byte[] start = file.readStart(EMPTY_FRAME.length);
      return Frame.read(start, 0) instanceof Frame.Result.Intact;
    }
  }

  /**
   * Opens the last segment. Its last frame is written again: if the process ended after a sync was
   * refused, the frame can be read here without being on the disk. For the same reason, a segment
   * that is empty is created anew.
   */
  private void openLast(Segment segment, SegmentReader reader) throws IOException {
    openFile = disk.open(segment.path);
    syncedBytes = reader.intactBytes();
    if (openFile.size() == 0) {
      close();
      disk.delete(segment.path);
      segments.remove(segment);
      return;
    }
    if (openFile.size() > syncedBytes) {
      openFile.truncate(syncedBytes);
    }
    openFile.write(reader.lastFrameOffset(), reader.lastFrame());
    openFile.sync();
  }

  /**
   * Writes and syncs entries as one frame. After a failure, none of them count as written, and the
   * call can be repeated.
   */
  void append(List<LogEntry> entries) throws IOException {
    if (openFile == null || syncedBytes >= SEGMENT_BYTES) {
      openNew(new byte[0]);
    }
    EntryBatchRecord batch =
        EntryBatchRecord.newBuilder().addAllEntries(RecordCodec.toRecords(entries)).build();
    byte[] frame = Frame.wrap(batch.toByteArray());
    if (hasUnsyncedTail) {
      openFile.truncate(syncedBytes);
    }
    hasUnsyncedTail = true;
    openFile.write(syncedBytes, frame);
    openFile.sync();
    hasUnsyncedTail = false;
    syncedBytes += frame.length;
    Segment last = segments.get(segments.size() - 1);
    last.highestIndex = Math.max(last.highestIndex, entries.get(entries.size() - 1).index());
  }

  /** Creates and syncs the next segment; after a failure, the call can be repeated. */
  private void openNew(byte[] content) throws IOException {
    Path path = folder.resolve(NumberedFiles.name(PREFIX, lastNumber + 1));
    // The file of a failed attempt is created anew, so that the sync of the folder covers it.
    if (Files.exists(path)) {
      disk.delete(path);
    }
    DiskFile file = disk.open(path);
    try {
      if (content.length > 0) {
        file.write(0, content);
        file.sync();
      }
      disk.syncFolder(folder);
    } catch (IOException e) {
      close(file);
      throw e;
    }
    if (openFile != null) {
      close(openFile);
    }
    openFile = file;
    syncedBytes = content.length;
    hasUnsyncedTail = false;
    lastNumber++;
    segments.add(new Segment(path));
  }

  private static void close(DiskFile file) {
    try {
      file.close();
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("%s", LogEvent.named("segment-not-closed"));
    }
  }

  /** Deletes the oldest segments without entries after an index; keeps the newest segment. */
  void deleteUpTo(long index) {
    while (segments.size() > 1 && segments.get(0).highestIndex <= index) {
      obsoleteFiles.add(segments.remove(0).path);
    }
    deleteObsoleteFiles();
  }

  /** Discards all entries: starts a segment that makes the others obsolete, and deletes these. */
  void clear() throws IOException {
    if (segments.isEmpty()) {
      return;
    }
    openNew(EMPTY_FRAME);
    while (segments.size() > 1) {
      obsoleteFiles.add(segments.remove(0).path);
    }
    deleteObsoleteFiles();
  }

  /** Deletes what it can; the rest is tried again at the next call. */
  private void deleteObsoleteFiles() {
    while (!obsoleteFiles.isEmpty()) {
      Path file = obsoleteFiles.get(0);
      try {
        disk.delete(file);
      } catch (IOException e) {
        logger.atWarning().log(
            "%s",
            LogEvent.named("segment-not-deleted")
                .with("file", file.getFileName())
                .with("detail", e.getMessage()));
        return;
      }
      obsoleteFiles.remove(0);
    }
  }

  @Override
  public void close() throws IOException {
    if (openFile != null) {
      openFile.close();
      openFile = null;
    }
  }
}
