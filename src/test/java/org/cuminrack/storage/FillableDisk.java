package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;

/** The local disk with an optional fault: writes that extend a file fail as on a full disk. */
public final class FillableDisk implements Disk {
  private final Disk local = Disk.local();
  private volatile boolean full;

  /** Sets whether the disk is full. */
  public void setFull(boolean full) {
    this.full = full;
  }

  @Override
  public DiskFile open(Path file) throws IOException {
    return new FillableFile(local.open(file));
  }

  @Override
  public void move(Path from, Path to) throws IOException {
    local.move(from, to);
  }

  @Override
  public void delete(Path file) throws IOException {
    local.delete(file);
  }

  @Override
  public void createFolders(Path folder) throws IOException {
    local.createFolders(folder);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    local.syncFolder(folder);
  }

  private final class FillableFile implements DiskFile {
    private final DiskFile file;

    FillableFile(DiskFile file) {
      this.file = file;
    }

    @Override
    public long size() throws IOException {
      return file.size();
    }

    @Override
    public byte[] readAll() throws IOException {
      return file.readAll();
    }

    @Override
    public byte[] readStart(int maxBytes) throws IOException {
      return file.readStart(maxBytes);
    }

    @Override
    public void write(long position, byte[] bytes) throws IOException {
      boolean grows = position + bytes.length > file.size();
      if (full && grows) {
        file.write(position, Arrays.copyOf(bytes, bytes.length / 2));
        throw new IOException("No space left on device");
      }
      file.write(position, bytes);
    }

    @Override
    public void truncate(long size) throws IOException {
      file.truncate(size);
    }

    @Override
    public void sync() throws IOException {
      file.sync();
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
