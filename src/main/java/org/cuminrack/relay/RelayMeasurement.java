package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.cuminrack.time.Clock;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Measures the overhead of an entry's data path: runs streams through an entry and streams directly
 * to the same engine at the same time, in one process on loopback. Times are measured by the
 * callers, in microseconds; CPU time covers only the entry's I/O threads.
 */
public final class RelayMeasurement {
  private static final int CALLER_THREADS = 3;
  private static final int ENGINE_THREADS = 3;
  private static final int ENTRY_THREADS = 2;

  /** Number of direct streams to the engine that run beside the relayed ones. */
  private static final int DIRECT_STREAMS = 100;

  private static final String LOOPBACK = "127.0.0.1";
  private static final int BUFFER_BYTES = 16 << 10;
  private static final long TOKEN_INTERVAL_MILLIS = 40;
  private static final int TOKENS_PER_PACED_STREAM = 200;
  private static final int WARM_UP_STREAMS = 200;

  /** Number of token intervals over which the starts of the streams are spread. */
  private static final int START_SPREAD_INTERVALS = 50;

  /** Number of streams without a pause between tokens, which measure the throughput. */
  private static final int UNPACED_STREAMS = 16;

  private static final int TOKENS_PER_UNPACED_STREAM = 40_000;

  /** How long to wait for the streams of one run to end. */
  private static final Duration RUN_TIMEOUT = Duration.ofSeconds(60);

  private final ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();
  private final Set<Long> entryThreadIds = ConcurrentHashMap.newKeySet();
  private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
  private final PrintStream out;

  private RelayMeasurement(PrintStream out) {
    this.out = out;
  }

  /** Runs the measurement, which takes about half a minute, and prints the result table. */
  public static void run(PrintStream out) throws IOException, InterruptedException {
    new RelayMeasurement(out).measure();
  }

  /** Runs the measurement from the command line. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    run(System.out);
  }

  private void measure() throws IOException, InterruptedException {
    XnioWorker callers = Xnio.getInstance().createWorker(callerOptions());
    // The path is "direct" to the engine, "relayed" through the entry, or "flood" for relayed
    // streams without a pause between tokens. "first" is the time to the first token, "gap" the
    // time between two tokens, and "transit" the time from the engine's send to the caller's
    // receipt.
    out.println(
        "streams path first_p50_us first_p99_us gap_p50_us gap_p99_us transit_p99_us failed");
    // Two runs for warm-up, whose results are not printed.
    runStreams(callers, UNPACED_STREAMS, TOKENS_PER_UNPACED_STREAM, 0, false);
    runStreams(callers, WARM_UP_STREAMS, TOKENS_PER_PACED_STREAM, TOKEN_INTERVAL_MILLIS, false);
    runStreams(callers, 100, TOKENS_PER_PACED_STREAM, TOKEN_INTERVAL_MILLIS, true);
    runStreams(callers, 1000, TOKENS_PER_PACED_STREAM, TOKEN_INTERVAL_MILLIS, true);
    runStreams(callers, UNPACED_STREAMS, TOKENS_PER_UNPACED_STREAM, 0, true);
    callers.shutdownNow();
  }

  private static OptionMap callerOptions() {
    return OptionMap.builder()
        .set(Options.WORKER_IO_THREADS, CALLER_THREADS)
        .set(Options.THREAD_DAEMON, true)
        .set(Options.TCP_NODELAY, true)
        .getMap();
  }

  private void runStreams(
      XnioWorker callers, int streams, int tokens, long intervalMillis, boolean printResults)
      throws InterruptedException {
    Undertow engine = serve(new MeasurementEngine(tokens, intervalMillis), ENGINE_THREADS);
    String engineAddress = address(engine);
    Undertow entry = serve(recordingThreads(entryApi(engineAddress)), ENTRY_THREADS);
    String entryAddress = address(entry);
    MeasurementCaller.Statistics direct = new MeasurementCaller.Statistics();
    MeasurementCaller.Statistics relayed = new MeasurementCaller.Statistics();
    boolean paced = intervalMillis > 0;
    CountDownLatch ended = new CountDownLatch(paced ? streams + DIRECT_STREAMS : streams);
    long startNanos = System.nanoTime();
    for (int i = 0; i < streams; i++) {
      startStream(callers, entryAddress, relayed, ended);
      if (paced && i % (streams / DIRECT_STREAMS) == 0) {
        startStream(callers, engineAddress, direct, ended);
      }
      awaitStart(startNanos, i, streams, intervalMillis);
    }
    boolean completed = ended.await(RUN_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    if (printResults) {
      if (paced) {
        print(DIRECT_STREAMS, "direct", direct, completed);
      }
      print(streams, paced ? "relayed" : "flood", relayed, completed);
      printCpuTime(relayed);
    }
    entryThreadIds.clear();
    entry.stop();
    engine.stop();
  }

  /** Waits between stream starts, so that the tokens of all streams are spread over time. */
  private static void awaitStart(long startNanos, int index, int streams, long intervalMillis)
      throws InterruptedException {
    long spreadNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis) * START_SPREAD_INTERVALS;
    long dueNanos = startNanos + spreadNanos * index / streams;
    long waitNanos = dueNanos - System.nanoTime();
    if (waitNanos > 0) {
      TimeUnit.NANOSECONDS.sleep(waitNanos);
    }
  }

  private void startStream(
      XnioWorker callers,
      String address,
      MeasurementCaller.Statistics statistics,
      CountDownLatch ended) {
    IoContext io = new IoContext(callers.getIoThread(), buffers, RelayBounds.defaults());
    io.execute(() -> new MeasurementCaller(statistics, ended).start(address, io));
  }

  private static CallerApi entryApi(String engineAddress) {
    MeasurementStubs stubs = new MeasurementStubs(engineAddress);
    RelaySettings settings =
        new RelaySettings(
            "entry",
            "127.0.0.1:1", // unused, as the stubs list no entries
            Duration.ofSeconds(30),
            ByteString.copyFromUtf8("a key for measurements only"),
            RelayBounds.defaults());
    // Generations do not use the ledger, so there is none.
    return new CallerApi(stubs, stubs, null, stubs, settings, Clock.system());
  }

  private HttpHandler recordingThreads(HttpHandler next) {
    return exchange -> {
      entryThreadIds.add(Thread.currentThread().getId());
      next.handleRequest(exchange);
    };
  }

  private static Undertow serve(HttpHandler handler, int ioThreads) {
    Undertow server =
        Undertow.builder()
            .addHttpListener(0, LOOPBACK, handler)
            .setIoThreads(ioThreads)
            .setWorkerThreads(1)
            .build();
    server.start();
    return server;
  }

  private static String address(Undertow server) {
    int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    return LOOPBACK + ":" + port;
  }

  /**
   * Prints one row of the table; "not-ended" replaces the count of failures if the run timed out.
   */
  private void print(
      int streams, String name, MeasurementCaller.Statistics statistics, boolean completed) {
    Histogram first = statistics.firstTokenMicros.getIntervalHistogram();
    Histogram gap = statistics.betweenTokensMicros.getIntervalHistogram();
    Histogram transit = statistics.transitMicros.getIntervalHistogram();
    out.printf(
        "%d %s %d %d %d %d %d %s%n",
        streams,
        name,
        first.getValueAtPercentile(50),
        first.getValueAtPercentile(99),
        gap.getValueAtPercentile(50),
        gap.getValueAtPercentile(99),
        transit.getValueAtPercentile(99),
        completed ? statistics.failures.sum() : "not-ended");
  }

  /** Prints the CPU time per token; {@code of_it_user} is the part that was spent in user mode. */
  private void printCpuTime(MeasurementCaller.Statistics statistics) {
    long nanos = entryThreadIds.stream().mapToLong(threadBean::getThreadCpuTime).sum();
    long userNanos = entryThreadIds.stream().mapToLong(threadBean::getThreadUserTime).sum();
    double tokens = statistics.tokens.sum();
    out.printf(
        "tokens=%.0f entry_cpu_us_per_token=%.2f of_it_user=%.2f tokens_per_core_second=%.0f%n",
        tokens, nanos / 1000.0 / tokens, userNanos / 1000.0 / tokens, tokens * 1e9 / nanos);
  }
}
