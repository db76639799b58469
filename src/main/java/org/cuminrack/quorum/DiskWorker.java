package org.cuminrack.quorum;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.internal.DiskQueue;
import org.cuminrack.quorum.internal.Effect;
import org.cuminrack.quorum.internal.Event;
import org.cuminrack.quorum.internal.Packet;
import org.cuminrack.storage.LogStore;
import org.cuminrack.time.Clock;

/**
 * Executes disk writes on a dedicated thread, in the order of the core's effects. Entries that
 * arrive during a sync are batched into the next one. Writes that the disk refuses are repeated
 * until it accepts them; {@link DiskQueue} decides what else may be executed until then.
 */
final class DiskWorker {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time between two attempts to repeat the refused writes. */
  static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

  private final LogStore store;
  private final DiskHealth health;
  private final Clock clock;
  private final Consumer<Event> events;
  private final Consumer<Packet> sender;
  private final Consumer<Throwable> onFailure;
  private final LinkedBlockingQueue<Effect> arrivals = new LinkedBlockingQueue<>();
  private final DiskQueue queue = new DiskQueue();
  private final Thread thread;
  private long nextRetryNanos;
  private volatile boolean stopping;

  DiskWorker(
      String vmName,
      LogStore store,
      DiskHealth health,
      Clock clock,
      Consumer<Event> events,
      Consumer<Packet> sender,
      Consumer<Throwable> onFailure) {
    this.store = store;
    this.health = health;
    this.clock = clock;
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
    arrivals.add(effect);
  }

  /** Stops the thread and closes the store. */
  void stop() {
    stopping = true;
    thread.interrupt();
    try {
      thread.join();
      store.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void run() {
    try {
      while (!stopping) {
        fetchEffects();
        retryIfDue();
        executeQueued();
      }
    } catch (Throwable e) {
      if (stopping) {
        logger.atFine().withCause(e).log("%s", LogEvent.named("quorum-disk-stopped"));
      } else {
        onFailure.accept(e);
      }
    }
  }

  private void fetchEffects() throws InterruptedException {
    long waitNanos = nextRetryNanos - clock.nanoTime();
    Effect first =
        queue.isRefusing()
            ? arrivals.poll(Math.max(0, waitNanos), TimeUnit.NANOSECONDS)
            : arrivals.take();
    while (first != null) {
      queue.add(first);
      first = arrivals.poll();
    }
  }

  private void retryIfDue() {
    if (!queue.isRefusing() || clock.nanoTime() - nextRetryNanos < 0) {
      return;
    }
    nextRetryNanos = clock.nanoTime() + RETRY_INTERVAL.toNanos();
    if (queue.hasDeferredWrites() || store.acceptsWrites()) {
      queue.retry();
    }
  }

  private void executeQueued() throws IOException {
    for (Effect effect = nextEffect(); effect != null; effect = nextEffect()) {
      try {
        execute(effect);
      } catch (ClosedChannelException e) {
        // A closed file refuses every write, however often it is repeated.
        throw e;
      } catch (IOException e) {
        refused(effect, e);
      }
    }
    if (!queue.isRefusing() && health.refusal().isPresent()) {
      health.accepted();
      events.accept(new Event.DiskFull(false));
    }
  }

  private Effect nextEffect() {
    Effect next = queue.poll();
    return next instanceof Effect.AppendLog append ? queue.batchStartingWith(append) : next;
  }

  private void refused(Effect effect, IOException cause) {
    queue.refused(effect);
    nextRetryNanos = clock.nanoTime() + RETRY_INTERVAL.toNanos();
    if (health.refused(nameOf(effect), cause)) {
      events.accept(new Event.DiskFull(true));
    }
  }

  private static String nameOf(Effect effect) {
    if (effect instanceof Effect.SaveVote) {
      return "vote";
    }
    return effect instanceof Effect.SaveSnapshot ? "snapshot" : "entries";
  }

  private void execute(Effect effect) throws IOException {
    if (effect instanceof Effect.Send send) {
      sender.accept(send.packet());
    } else if (effect instanceof Effect.SaveVote vote) {
      store.saveVote(vote.term(), vote.votedFor());
      events.accept(new Event.VoteSynced(vote.sequence()));
    } else if (effect instanceof Effect.AppendLog append) {
      store.append(append.entries());
      long last = append.entries().get(append.entries().size() - 1).index();
      events.accept(new Event.LogSynced(append.epoch(), last));
    } else if (effect instanceof Effect.SaveSnapshot snapshot) {
      store.saveSnapshot(snapshot.image(), snapshot.resetsLog());
      events.accept(new Event.LogSynced(snapshot.epoch(), snapshot.image().index()));
    } else {
      throw new IllegalArgumentException("effect: expected a write or a packet, found " + effect);
    }
  }
}
