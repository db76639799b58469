package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.UnaryOperator;

/**
 * The local disk, which refuses chosen operations and can lose its power. A refused sync drops what
 * it was to make durable: the data can still be read, and a repeated sync does not cover it. A
 * refused write leaves half of its bytes. Thread-safe.
 */
public final class FaultyDisk implements Disk {
  /** An operation that changes the disk. */
  public enum Operation {
    CREATE,
    WRITE,
    TRUNCATE,
    SYNC,
    MOVE,
    DELETE,
    SYNC_FOLDER
  }

  private final Disk local = Disk.local();
  private final Map<Path, Content> current = new HashMap<>();
  private final Map<Path, Content> durable = new HashMap<>();
  private final Set<Path> unsyncedNames = new HashSet<>();
  private BiPredicate<Operation, Path> refusal = (operation, path) -> false;
  private int refusedCount;

  /** The synced bytes of a file, and the changes since. */
  private static final class Content {
    byte[] synced = {};
    final List<UnaryOperator<byte[]>> changes = new ArrayList<>();

    void sync() {
      changes.forEach(change -> synced = change.apply(synced));
      changes.clear();
    }
  }

  /**
   * Sets which operations are refused; of a move, the path is the target. If the predicate throws,
   * the operation has not begun.
   */
  public synchronized void refuse(BiPredicate<Operation, Path> refusal) {
    this.refusal = refusal;
    refusedCount = 0;
  }

  /** Returns how many operations were refused since the last call of {@link #refuse}. */
  public synchronized int refusedCount() {
    return refusedCount;
  }

  private boolean isRefused(Operation operation, Path path) {
    boolean refused = refusal.test(operation, path);
    refusedCount += refused ? 1 : 0;
    return refused;
  }

  private void check(Operation operation, Path path) throws IOException {
    if (isRefused(operation, path)) {
      throw new IOException("refused: " + operation + " " + path.getFileName());
    }
  }

  /**
   * Restores what was durable; each change and each name that was not synced is kept or lost. Call
   * after the store is closed.
   */
  public synchronized void losePower(Random random) throws IOException {
    unsyncedNames.removeIf(path -> random.nextBoolean());
    unsyncedNames.forEach(path -> durable.compute(path, (key, before) -> current.get(path)));
    unsyncedNames.clear();
    for (Path path : current.keySet()) {
      Files.deleteIfExists(path);
    }
    current.clear();
    for (Map.Entry<Path, Content> entry : durable.entrySet()) {
      Content content = entry.getValue();
      content.changes.removeIf(change -> random.nextBoolean());
      content.sync();
      Files.write(entry.getKey(), content.synced);
      current.put(entry.getKey(), content);
    }
  }

  @Override
  public synchronized DiskFile open(Path path) throws IOException {
    if (!Files.exists(path)) {
      check(Operation.CREATE, path);
      current.put(path, new Content());
      unsyncedNames.add(path);
    }
    return new FaultyFile(
        path, local.open(path), current.computeIfAbsent(path, key -> new Content()));
  }

  @Override
  public synchronized void move(Path from, Path to) throws IOException {
    check(Operation.MOVE, to);
    local.move(from, to);
    current.put(to, current.remove(from));
    unsyncedNames.addAll(List.of(from, to));
  }

  @Override
  public synchronized void delete(Path path) throws IOException {
    check(Operation.DELETE, path);
    local.delete(path);
    current.remove(path);
    unsyncedNames.add(path);
  }

  @Override
  public void createFolders(Path folder) throws IOException {
    local.createFolders(folder);
  }

  @Override
  public synchronized void syncFolder(Path folder) throws IOException {
    try {
      check(Operation.SYNC_FOLDER, folder);
    } catch (IOException e) {
      unsyncedNames.clear();
      throw e;
    }
    unsyncedNames.forEach(path -> durable.compute(path, (key, before) -> current.get(path)));
    unsyncedNames.clear();
  }

  private final class FaultyFile implements DiskFile {
    private final Path path;
    private final DiskFile file;
    private final Content content;

    FaultyFile(Path path, DiskFile file, Content content) {
      this.path = path;
      this.file = file;
      this.content = content;
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
      synchronized (FaultyDisk.this) {
        boolean refused = isRefused(Operation.WRITE, path);
        byte[] written = refused ? Arrays.copyOf(bytes, bytes.length / 2) : bytes;
        file.write(position, written);
        content.changes.add(before -> overwrite(before, (int) position, written));
        if (refused) {
          throw new IOException("refused: WRITE " + path.getFileName());
        }
      }
    }

    private static byte[] overwrite(byte[] before, int position, byte[] written) {
      byte[] after = Arrays.copyOf(before, Math.max(before.length, position + written.length));
      System.arraycopy(written, 0, after, position, written.length);
      return after;
    }

    @Override
    public void truncate(long size) throws IOException {
      synchronized (FaultyDisk.this) {
        check(Operation.TRUNCATE, path);
        file.truncate(size);
        content.changes.add(before -> Arrays.copyOf(before, (int) Math.min(before.length, size)));
      }
    }

    @Override
    public void sync() throws IOException {
      synchronized (FaultyDisk.this) {
        try {
          check(Operation.SYNC, path);
        } catch (IOException e) {
          content.changes.clear();
          throw e;
        }
        content.sync();
      }
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
