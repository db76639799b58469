package org.cuminrack.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes records on a separate thread through a bounded queue. Logging never blocks: when the
 * output is stalled and the queue is full, records are dropped and their number is logged later.
 */
final class BoundedHandler extends Handler {
  private static final int QUEUE_CAPACITY = 8_192;
  private static final long FLUSH_TIMEOUT_MILLIS = 500;

  private final BlockingQueue<LogRecord> queue;
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final AtomicLong queued = new AtomicLong();

  /** Guards the number of records written, and is notified when it grows. */
  private final Object writtenLock = new Object();

  private long written;

  BoundedHandler(PrintStream out) {
    this(out, QUEUE_CAPACITY);
  }

  BoundedHandler(PrintStream out, int capacity) {
    this.out = out;
    this.queue = new ArrayBlockingQueue<>(capacity);
    setFormatter(new KeyValueFormatter());
    Thread writer = new Thread(this::write, "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record)) {
      return;
    }
    if (queue.offer(record)) {
      queued.incrementAndGet();
    } else {
      dropped.incrementAndGet();
    }
  }

  private void write() {
    List<LogRecord> batch = new ArrayList<>();
    try {
      while (true) {
        batch.add(queue.take());
        queue.drainTo(batch);
        writeBatchOrReport(batch);
        recordWritten(batch.size());
        batch.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes a batch; a record that can't be formatted must not end this thread. */
  private void writeBatchOrReport(List<LogRecord> batch) {
    try {
      writeBatch(batch);
    } catch (RuntimeException e) {
      out.println(LogEvent.named("log-lines-failed").with("lines", batch.size()).with("detail", e));
      out.flush();
    }
  }

  private void writeBatch(List<LogRecord> batch) {
    StringBuilder text = new StringBuilder();
    batch.forEach(logRecord -> text.append(getFormatter().format(logRecord)));
    long droppedLines = dropped.getAndSet(0);
    if (droppedLines > 0) {
      text.append(LogEvent.named("log-lines-dropped").with("lines", droppedLines)).append('\n');
    }
    byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
  }

  private void recordWritten(int count) {
    synchronized (writtenLock) {
      written += count;
      writtenLock.notifyAll();
    }
  }

  /**
   * Waits until all records published so far are written, with a timeout in case the output is
   * stalled.
   */
  @Override
  public void flush() {
    long target = queued.get();
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MILLIS);
    try {
      synchronized (writtenLock) {
        while (written < target) {
          long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
          if (leftMillis <= 0) {
            return;
          }
          writtenLock.wait(leftMillis);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    flush();
  }
}
