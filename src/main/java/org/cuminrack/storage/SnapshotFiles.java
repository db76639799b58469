package org.cuminrack.storage;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.cuminrack.generated.quorum.SnapshotRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.internal.RecordCodec;
import org.cuminrack.quorum.internal.SnapshotImage;

/** The snapshot files of a data folder; the one with the highest index is current. */
final class SnapshotFiles {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  static final String PREFIX = "snapshot-";

  private final Disk disk;
  private final Path folder;

  SnapshotFiles(Disk disk, Path folder) {
    this.disk = disk;
    this.folder = folder;
  }

  /** Returns the newest snapshot; null if there is none. */
  SnapshotImage readNewest() throws IOException {
    List<Path> files = NumberedFiles.list(folder, PREFIX);
    if (files.isEmpty()) {
      return null;
    }
    byte[] payload = AtomicFile.read(disk, files.get(files.size() - 1));
    return RecordCodec.fromRecord(SnapshotRecord.parseFrom(payload));
  }

  /** Writes and syncs a snapshot, then deletes the older ones that the disk lets it delete. */
  void write(SnapshotImage image) throws IOException {
    Path file = folder.resolve(NumberedFiles.name(PREFIX, image.index()));
    AtomicFile.write(disk, file, Frame.wrap(RecordCodec.toRecord(image).toByteArray()));
    for (Path other : NumberedFiles.list(folder, PREFIX)) {
      if (NumberedFiles.number(other, PREFIX) < image.index()) {
        delete(other);
      }
    }
  }

  private void delete(Path file) {
    try {
      disk.delete(file);
    } catch (IOException e) {
      logger.atWarning().log(
          "%s",
          LogEvent.named("snapshot-not-deleted")
              .with("file", file.getFileName())
              .with("detail", e.getMessage()));
    }
  }
}
