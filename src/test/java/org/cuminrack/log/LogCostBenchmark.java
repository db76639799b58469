package org.cuminrack.log;

import com.google.common.flogger.FluentLogger;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time that the longest log line of a request takes on the logging thread. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class LogCostBenchmark {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Logger NAMED = Logger.getLogger(LogCostBenchmark.class.getName());

  /** Whether the output accepts lines or is stalled with a full queue. */
  @Param({"TAKEN", "STALLED"})
  public String output;

  private final CountDownLatch stalled = new CountDownLatch(1);
  private Handler handler;

  @Setup
  public void open() {
    OutputStream sink = output.equals("TAKEN") ? OutputStream.nullOutputStream() : stalledSink();
    handler = new BoundedHandler(new PrintStream(sink, false, StandardCharsets.UTF_8));
    NAMED.setUseParentHandlers(false);
    NAMED.setLevel(Level.INFO);
    NAMED.addHandler(handler);
  }

  private OutputStream stalledSink() {
    return new OutputStream() {
      @Override
      public void write(int value) {
        try {
          stalled.await();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    };
  }

  @TearDown
  public void close() {
    stalled.countDown();
    NAMED.removeHandler(handler);
  }

  @Benchmark
  public void requestEnded() {
    logger.atInfo().log(
        "%s",
        LogEvent.named("request-ended")
            .with("request", "c7a1d69da9195a99")
            .with("route", "r-4qxdrsd")
            .with("service", "seda91a")
            .with("routing_revision", 36)
            .with("outcome", "answered")
            .with("status", 200)
            .with("upstream", "i-73ce05062a")
            .with("sends", 1)
            .with("first_event_ms", 481)
            .with("total_ms", 3590)
            .with("detail", "52 events, 0 resumes"));
  }
}
