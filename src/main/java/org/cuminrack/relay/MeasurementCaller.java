package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Recorder;

/** A caller in a measurement: reads one stream and records the arrival times of its tokens. */
final class MeasurementCaller implements UpstreamListener {
  private static final String BODY = "{\"model\":\"measured\",\"prompt\":\"a b c\"}";
  private static final int MAX_EVENT_BYTES = 64 << 10;
  private static final String SENT_NANOS_FIELD = "\"sent_nanos\":";

  private final Statistics statistics;
  private final CountDownLatch ended;
  private final EventStreamParser parser =
      new EventStreamParser(MAX_EVENT_BYTES, this::eventReceived);
  private long startNanos;
  private long lastTokenNanos;
  private int tokens;

  MeasurementCaller(Statistics statistics, CountDownLatch ended) {
    this.statistics = statistics;
    this.ended = ended;
  }

  /**
   * Histograms in microseconds, with three significant digits, and counts of all callers that use
   * the same path to the engine. The transit time of a token is the time from its sending by the
   * engine to its receipt by the caller.
   */
  static final class Statistics {
    final Recorder firstTokenMicros = new Recorder(3);
    final Recorder betweenTokensMicros = new Recorder(3);
    final Recorder transitMicros = new Recorder(3);
    final LongAdder tokens = new LongAdder();
    final LongAdder failures = new LongAdder();
  }

  void start(String address, IoContext io) {
    HeaderMap headers = new HeaderMap();
    headers.put(RelayHeaders.ORGANISATION, MeasurementStubs.ORGANISATION);
    headers.put(RelayHeaders.REQUEST_ID, "direct");
    headers.put(Headers.CONTENT_TYPE, "application/json");
    startNanos = System.nanoTime();
    io.open(
        new UpstreamRequest(
            address, Methods.POST, "/v1/completions", headers, ByteString.copyFromUtf8(BODY)),
        this);
  }

  private void eventReceived(String id, byte[] data) {
    String text = new String(data, StandardCharsets.UTF_8);
    int fieldStart = text.indexOf(SENT_NANOS_FIELD);
    if (fieldStart < 0) {
      return;
    }
    long nowNanos = System.nanoTime();
    long sentNanos =
        Long.parseLong(text.substring(fieldStart + SENT_NANOS_FIELD.length(), text.length() - 1));
    statistics.transitMicros.recordValue(micros(nowNanos - sentNanos));
    if (tokens == 0) {
      statistics.firstTokenMicros.recordValue(micros(nowNanos - startNanos));
    } else {
      statistics.betweenTokensMicros.recordValue(micros(nowNanos - lastTokenNanos));
    }
    lastTokenNanos = nowNanos;
    tokens++;
    statistics.tokens.increment();
  }

  private static long micros(long nanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  @Override
  public void notSent(NotSentReason reason) {
    fail();
  }

  @Override
  public void responseStarted(int status, HeaderMap headers) {
    if (status != 200) {
      statistics.failures.increment();
    }
  }

  @Override
  public void bodyReceived(ByteBuffer bytes) {
    parser.feed(bytes);
  }

  @Override
  public void completed() {
    ended.countDown();
  }

  @Override
  public void failed(String detail) {
    fail();
  }

  private void fail() {
    statistics.failures.increment();
    ended.countDown();
  }
}
