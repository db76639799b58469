package org.cuminrack.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** An upstream on loopback that answers each request with the response that a test sets. */
final class FixedResponseUpstream implements AutoCloseable {
  private volatile String response = "";
  private final RawUpstream upstream = new RawUpstream(this::respond);

  FixedResponseUpstream() throws IOException {}

  String address() {
    return upstream.address();
  }

  /** Sets the response, one byte a character; {@code ID} stands for the request's attempt id. */
  void respondWith(String newResponse) {
    response = newResponse;
  }

  private void respond(String attemptId, OutputStream out) throws IOException {
    out.write(response.replace("ID", attemptId).getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    upstream.close();
  }
}
