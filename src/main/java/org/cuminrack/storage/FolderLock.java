package org.cuminrack.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A file lock that prevents a second process from using the data folder. */
final class FolderLock implements AutoCloseable {
  static final String NAME = "lock";
  private final FileChannel channel;

  private FolderLock(FileChannel channel) {
    this.channel = channel;
  }

  static FolderLock acquire(Path folder) throws IOException {
    FileChannel channel =
        FileChannel.open(folder.resolve(NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    if (!tryLock(channel)) {
      channel.close();
      throw new IllegalStateException("data folder " + folder + " is in use by another process");
    }
    return new FolderLock(channel);
  }

  private static boolean tryLock(FileChannel channel) throws IOException {
    try {
      return channel.tryLock() != null;
    } catch (OverlappingFileLockException e) {
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
