package org.cuminrack.quorum;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NotDirectoryException;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cuminrack.log.LogEvent;
import org.cuminrack.storage.Disk;
import org.cuminrack.storage.LogStore;

/** Opens a replica's data folder, as soon as the disk accepts what has to be written for that. */
final class StoreOpener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Disk disk;
  private final QuorumSettings settings;
  private final DiskHealth health;
  private final SecureRandom incarnations = new SecureRandom();

  StoreOpener(Disk disk, QuorumSettings settings, DiskHealth health) {
    this.disk = disk;
    this.settings = settings;
    this.health = health;
  }

  /**
   * Opens the data folder; returns empty if the disk refuses.
   *
   * @throws UncheckedIOException if this process may not use the folder, or it is a file
   */
  Optional<LogStore> tryOpen() {
    LogStore store;
    try {
      store = LogStore.open(disk, settings.dataFolder(), settings.vmName(), this::nextIncarnation);
    } catch (AccessDeniedException | NotDirectoryException | FileAlreadyExistsException e) {
      throw new UncheckedIOException(e);
    } catch (IOException e) {
      health.refused("data folder", e);
      return Optional.empty();
    }
    health.accepted();
    store
        .corruption()
        .ifPresent(
            detail ->
                logger.atSevere().log(
                    "%s", LogEvent.named("disk-corrupted").with("detail", detail)));
    return Optional.of(store);
  }

  /** Repeats the attempt until the disk accepts. */
  LogStore awaitOpen() throws InterruptedException {
    Optional<LogStore> store = Optional.empty();
    while (store.isEmpty()) {
      TimeUnit.NANOSECONDS.sleep(DiskWorker.RETRY_INTERVAL.toNanos());
      store = tryOpen();
    }
    return store.get();
  }

  private long nextIncarnation() {
    return incarnations.nextLong(1, Long.MAX_VALUE);
  }
}
