package org.cuminrack.quorum;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.internal.Effect;
import org.cuminrack.quorum.internal.Event;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.Packet;
import org.cuminrack.storage.DiskFullException;
import org.cuminrack.storage.LogStore;

/**
 * Executes disk writes on a dedicated thread, in the order of the core's effects. Entries that
 * arrive during a sync are batched into the next one. While the disk is full, entries and snapshots
 * are deferred; votes are still written unless a deferred snapshot must be written first. If the
 * write of a snapshot of this replica's own state finds the disk full, that snapshot is dropped.
 */
final class DiskWorker {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

  private final LogStore store;
  private final Consumer<Event> events;
  private final Consumer<Packet> sender;
  private final Consumer<Throwable> onFailure;
  private final LinkedBlockingQueue<Effect> queue = new LinkedBlockingQueue<>();
  private final Deque<Effect> pendingEffects = new ArrayDeque<>();
  private final Deque<Effect> deferredEffects = new ArrayDeque<>();
  private final Thread thread;
  private boolean diskFull;
  private volatile boolean stopping;

  DiskWorker(
      String vmName,
      LogStore store,
      Consumer<Event> events,
      Consumer<Packet> sender,
      Consumer<Throwable> onFailure) {
    this.store = store;
    this.events = events;
    this.sender = sender;
    this.onFailure = onFailure;
    this.thread = new Thread(this::run, "quorum-disk-" + vmName);
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Queues a write, or a packet that must be sent after the votes queued before it. */
  void add(Effect effect) {
    queue.add(effect);
  }

  void stop() {
    stopping = true;
    thread.interrupt();
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (!stopping) {
        fetchEffects();
        retryDeferredEffects();
        processEffects();
      }
    } catch (InterruptedException e) {
      logger.atFine().log("%s", LogEvent.named("quorum-disk-stopped"));
    } catch (IOException | RuntimeException e) {
      onFailure.accept(e);
    }
  }

  private void fetchEffects() throws InterruptedException {
    Effect first =
        diskFull ? queue.poll(RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS) : queue.take();
    if (first != null) {
      pendingEffects.add(first);
      queue.drainTo(pendingEffects);
    }
  }

  private void retryDeferredEffects() throws IOException {
    if (!diskFull || !store.hasFreeSpace()) {
      return;
    }
    diskFull = false;
    while (!deferredEffects.isEmpty()) {
      pendingEffects.addFirst(deferredEffects.removeLast());
    }
    events.accept(new Event.DiskFull(false));
    logger.atInfo().log("%s", LogEvent.named("disk-has-room"));
  }

  private void processEffects() throws IOException {
    while (!pendingEffects.isEmpty()) {
      Effect effect = pendingEffects.remove();
      if (effect instanceof Effect.Send send) {
        sendOrDefer(send);
      } else if (effect instanceof Effect.SaveVote vote) {
        saveVoteOrDefer(vote);
      } else if (diskFull) {
        deferredEffects.add(effect);
      } else {
        write(effect);
      }
    }
  }

  /**
   * Returns whether any snapshot is deferred. A vote must not be written before the snapshot that
   * made the replica a voter, so votes wait for all deferred snapshots.
   */
  private boolean hasDeferredSnapshot() {
    return deferredEffects.stream().anyMatch(effect -> effect instanceof Effect.SaveSnapshot);
  }

  private void sendOrDefer(Effect.Send send) {
    if (hasDeferredSnapshot()) {
      deferredEffects.add(send);
    } else {
      sender.accept(send.packet());
    }
  }

  private void saveVoteOrDefer(Effect.SaveVote vote) throws IOException {
    if (hasDeferredSnapshot()) {
      deferredEffects.add(vote);
      return;
    }
    store.saveVote(vote.term(), vote.votedFor());
    events.accept(new Event.VoteSynced(vote.sequence()));
  }

  private void write(Effect effect) throws IOException {
    try {
      if (effect instanceof Effect.AppendLog append) {
        append(append);
      } else if (effect instanceof Effect.SaveSnapshot snapshot) {
        saveSnapshot(snapshot);
      }
    } catch (DiskFullException e) {
      diskFull = true;
      events.accept(new Event.DiskFull(true));
      logger.atWarning().log("%s", LogEvent.named("disk-full").with("detail", e.getMessage()));
    }
  }

  private void append(Effect.AppendLog first) throws IOException {
    Effect.AppendLog batch = new Effect.AppendLog(first.epoch(), takeBatchStartingWith(first));
    try {
      store.append(batch.entries());
    } catch (DiskFullException e) {
      deferredEffects.add(batch);
      throw e;
    }
    long last = batch.entries().get(batch.entries().size() - 1).index();
    events.accept(new Event.LogSynced(batch.epoch(), last));
  }

  private List<LogEntry> takeBatchStartingWith(Effect.AppendLog first) {
    List<LogEntry> entries = new ArrayList<>(first.entries());
    while (pendingEffects.peek() instanceof Effect.AppendLog next
        && next.epoch() == first.epoch()) {
      entries.addAll(next.entries());
      pendingEffects.remove();
    }
    return entries;
  }

  private void saveSnapshot(Effect.SaveSnapshot snapshot) throws IOException {
    try {
      store.saveSnapshot(snapshot.image(), snapshot.resetsLog());
    } catch (DiskFullException e) {
      if (snapshot.resetsLog()) {
        deferredEffects.add(snapshot);
      }
      throw e;
    }
    events.accept(new Event.LogSynced(snapshot.epoch(), snapshot.image().index()));
  }
}
