package org.cuminrack.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

/** An upstream on loopback that answers a request with bytes without end. */
final class EndlessUpstream implements AutoCloseable {
  private static final int REPEATS_PER_WRITE = 512;

  private final CountDownLatch closedByClient = new CountDownLatch(1);
  private final AtomicLong sentBytes = new AtomicLong();
  private final String start;
  private final byte[] repeated;
  private final RawUpstream upstream;

  /**
   * Starts an upstream.
   *
   * @param start sent once for each request; {@code ID} stands for the request's attempt id
   * @param repeated sent again and again until the client closes the connection
   */
  EndlessUpstream(String start, String repeated) throws IOException {
    this.start = start;
    this.repeated = repeated.repeat(REPEATS_PER_WRITE).getBytes(StandardCharsets.US_ASCII);
    this.upstream = new RawUpstream(this::respond);
  }

  String address() {
    return upstream.address();
  }

  long sentBytes() {
    return sentBytes.get();
  }

  /** Returns a latch that opens when a client closes a connection on which bytes are being sent. */
  CountDownLatch closedByClient() {
    return closedByClient;
  }

  private void respond(String attemptId, OutputStream out) throws IOException {
    out.write(start.replace("ID", attemptId).getBytes(StandardCharsets.US_ASCII));
    sendUntilClosed(out);
  }

  private void sendUntilClosed(OutputStream out) {
    try {
      while (true) {
        out.write(repeated);
        sentBytes.addAndGet(repeated.length);
      }
    } catch (IOException e) {
      closedByClient.countDown();
    }
  }

  @Override
  public void close() throws IOException {
    upstream.close();
  }
}
