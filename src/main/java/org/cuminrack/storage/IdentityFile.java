package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cuminrack.generated.quorum.ReplicaName;
import org.cuminrack.quorum.internal.RecordCodec;
import org.cuminrack.quorum.internal.ReplicaId;

/** The file that identifies the replica to which the data folder belongs. */
final class IdentityFile {
  static final String NAME = "identity";

  private IdentityFile() {}

  static boolean exists(Path folder) {
    return Files.exists(folder.resolve(NAME));
  }

  static void write(Disk disk, Path folder, ReplicaId self) throws IOException {
    byte[] bytes = Frame.wrap(RecordCodec.toRecord(self).toByteArray());
    AtomicFile.write(disk, folder.resolve(NAME), bytes);
  }

  static ReplicaId read(Disk disk, Path folder) throws IOException {
    Path file = folder.resolve(NAME);
    byte[] payload = AtomicFile.read(disk, file);
    return RecordCodec.fromRecord(ReplicaName.parseFrom(payload));
  }
}
