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
 * Writes on a thread of its own, in the order of the core's effects. Entries that pile up while one
 * sync runs go out with the next one. While the disk is full, entries wait and votes are still
 * written.
 */
final class DiskWorker {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

  private final LogStore store;
  private final Consumer<Event> events;
  private final Consumer<Packet> sender;
  private final Consumer<Throwable> onBroken;
  private final LinkedBlockingQueue<Effect> queue = new LinkedBlockingQueue<>();
  private final Deque<Effect> work = new ArrayDeque<>();
  private final Deque<Effect> stalled = new ArrayDeque<>();
  private final Thread thread;
  private boolean full;
  private volatile boolean stopping;

  DiskWorker(
      String vmName,
      LogStore store,
      Consumer<Event> events,
      Consumer<Packet> sender,
      Consumer<Throwable> onBroken) {
    this.store = store;
    this.events = events;
    this.sender = sender;
    this.onBroken = onBroken;
    this.thread = new Thread(this::run, "quorum-disk-" + vmName);
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Takes an effect that writes, or a packet that must wait for writes before it. */
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
        takeWork();
        retryStalled();
        doWork();
      }
    } catch (InterruptedException e) {
      logger.atFine().log("%s", LogEvent.named("quorum-disk-stopped"));
    } catch (IOException | RuntimeException e) {
      onBroken.accept(e);
    }
  }

  private void takeWork() throws InterruptedException {
    Effect first =
        full ? queue.poll(RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS) : queue.take();
    if (first != null) {
      work.add(first);
      queue.drainTo(work);
    }
  }

  private void retryStalled() throws IOException {
    if (!full || !store.hasRoom()) {
      return;
    }
    full = false;
    while (!stalled.isEmpty()) {
      work.addFirst(stalled.removeLast());
    }
    events.accept(new Event.DiskFull(false));
    logger.atInfo().log("%s", LogEvent.named("disk-has-room"));
  }

  private void doWork() throws IOException {
    while (!work.isEmpty()) {
      Effect effect = work.remove();
      if (effect instanceof Effect.Send send) {
        sendOrStall(send);
      } else if (effect instanceof Effect.SaveVote vote) {
        saveVoteOrStall(vote);
      } else if (full) {
        stalled.add(effect);
      } else {
        write(effect);
      }
    }
  }

  /** A vote must not be written before the snapshot that made the replica a voter. */
  private boolean snapshotIsStalled() {
    return stalled.stream().anyMatch(each -> each instanceof Effect.SaveSnapshot);
  }

  private void sendOrStall(Effect.Send send) {
    if (snapshotIsStalled()) {
      stalled.add(send);
    } else {
      sender.accept(send.packet());
    }
  }

  private void saveVoteOrStall(Effect.SaveVote vote) throws IOException {
    if (snapshotIsStalled()) {
      stalled.add(vote);
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
      full = true;
      events.accept(new Event.DiskFull(true));
      logger.atWarning().log("%s", LogEvent.named("disk-full").with("detail", e.getMessage()));
    }
  }

  private void append(Effect.AppendLog first) throws IOException {
    Effect.AppendLog all = new Effect.AppendLog(first.epoch(), withFollowing(first));
    try {
      store.append(all.entries());
    } catch (DiskFullException e) {
      stalled.add(all);
      throw e;
    }
    long last = all.entries().get(all.entries().size() - 1).index();
    events.accept(new Event.LogSynced(all.epoch(), last));
  }

  private List<LogEntry> withFollowing(Effect.AppendLog first) {
    List<LogEntry> entries = new ArrayList<>(first.entries());
    while (work.peek() instanceof Effect.AppendLog next && next.epoch() == first.epoch()) {
      entries.addAll(next.entries());
      work.remove();
    }
    return entries;
  }

  private void saveSnapshot(Effect.SaveSnapshot snapshot) throws IOException {
    try {
      store.saveSnapshot(snapshot.image(), snapshot.resetsLog());
    } catch (DiskFullException e) {
      if (snapshot.resetsLog()) {
        stalled.add(snapshot);
      }
      throw e;
    }
    events.accept(new Event.LogSynced(snapshot.epoch(), snapshot.image().index()));
  }
}
