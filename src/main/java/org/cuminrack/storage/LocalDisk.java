package org.cuminrack.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The disk of the local machine. */
enum LocalDisk implements Disk {
  INSTANCE;

  @Override
  public DiskFile open(Path file) throws IOException {
    return new LocalFile(
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE));
  }

  @Override
  public void move(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(Path file) throws IOException {
    Files.delete(file);
  }

  @Override
  public void createFolders(Path folder) throws IOException {
    Files.createDirectories(folder);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private record LocalFile(FileChannel channel) implements DiskFile {

    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public byte[] readAll() throws IOException {
      return read(Math.toIntExact(channel.size()));
    }

    @Override
    public byte[] readStart(int maxBytes) throws IOException {
      return read((int) Math.min(maxBytes, channel.size()));
    }

    private byte[] read(int bytes) throws IOException {
      ByteBuffer buffer = ByteBuffer.allocate(bytes);
      while (buffer.hasRemaining() && channel.read(buffer, buffer.position()) >= 0) {}
      return buffer.array();
    }

    @Override
    public void write(long position, byte[] bytes) throws IOException {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer, position + buffer.position());
      }
    }

    @Override
    public void truncate(long size) throws IOException {
      channel.truncate(size);
    }

    @Override
    public void sync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
