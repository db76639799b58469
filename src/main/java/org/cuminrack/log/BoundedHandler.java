package org.cuminrack.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes records on a thread of its own. A caller never waits: while the output is stalled, records
 * beyond the bound are dropped, and a line says how many were.
 */
final class BoundedHandler extends Handler {
  private static final int MAX_WAITING = 8_192;
  private static final long FLUSH_TIMEOUT_MILLIS = 500;

  private final BlockingQueue<LogRecord> waiting;
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private volatile CountDownLatch drained = new CountDownLatch(0);

  BoundedHandler(PrintStream out) {
    this(out, MAX_WAITING);
  }

  BoundedHandler(PrintStream out, int maxWaiting) {
    this.out = out;
    this.waiting = new ArrayBlockingQueue<>(maxWaiting);
    setFormatter(new KeyValueFormatter());
    Thread writer = new Thread(this::write, "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (isLoggable(record) && !waiting.offer(record)) {
      dropped.incrementAndGet();
    }
  }

  private void write() {
    List<LogRecord> batch = new ArrayList<>();
    try {
      while (true) {
        batch.add(waiting.take());
        waiting.drainTo(batch);
        writeBatch(batch);
        batch.clear();
        if (waiting.isEmpty()) {
          drained.countDown();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeBatch(List<LogRecord> batch) {
    StringBuilder text = new StringBuilder();
    batch.forEach(each -> text.append(getFormatter().format(each)));
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      text.append(LogEvent.named("log-lines-dropped").with("lines", lost)).append('\n');
    }
    byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
  }

  /** Waits a moment for what was published; a stalled output does not hold the process. */
  @Override
  public void flush() {
    CountDownLatch latch = new CountDownLatch(1);
    drained = latch;
    if (waiting.isEmpty()) {
      return;
    }
    try {
      latch.await(FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    flush();
  }
}
