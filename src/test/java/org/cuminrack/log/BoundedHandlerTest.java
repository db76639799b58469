package org.cuminrack.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class BoundedHandlerTest {

  @Test
  void shouldWritePublishedRecordsBeforeFlushReturns() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    BoundedHandler handler = new BoundedHandler(new PrintStream(out, true));

    handler.publish(record("event=one"));
    handler.flush();

    assertThat(out.toString(StandardCharsets.UTF_8)).contains("event=one");
  }

  @Test
  void shouldGoOnAfterARecordThatCannotBeFormatted() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    BoundedHandler handler = new BoundedHandler(new PrintStream(out, true));
    LogRecord broken = record("event=broken");
    broken.setThrown(
        new RuntimeException() {
          private static final long serialVersionUID = 1L;

          @Override
          public String getMessage() {
            throw new IllegalStateException("not printable");
          }
        });

    handler.publish(broken);
    handler.publish(record("event=next"));
    handler.flush();
    handler.publish(record("event=last"));
    handler.flush();

    assertThat(out.toString(StandardCharsets.UTF_8)).contains("event=log-lines-failed");
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("event=last");
  }

  @Test
  void shouldDropAndCountRecordsWhileTheOutputIsStalled() throws InterruptedException {
    StalledOutput out = new StalledOutput();
    BoundedHandler handler = new BoundedHandler(new PrintStream(out, true), 4);
    handler.publish(record("event=first"));
    out.entered.await();

    for (int i = 0; i < 10; i++) {
      handler.publish(record("event=more"));
    }
    out.released.countDown();
    handler.flush();

    assertThat(out.text()).contains("event=log-lines-dropped lines=6");
  }

  private static LogRecord record(String message) {
    LogRecord record = new LogRecord(Level.INFO, message);
    record.setLoggerName("test");
    return record;
  }

  /** Blocks every write until it is released. */
  private static final class StalledOutput extends OutputStream {
    private final CountDownLatch entered = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Override
    public void write(int value) {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
      entered.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      synchronized (written) {
        written.write(bytes, offset, length);
      }
    }

    String text() {
      synchronized (written) {
        return written.toString(StandardCharsets.UTF_8);
      }
    }
  }
}
