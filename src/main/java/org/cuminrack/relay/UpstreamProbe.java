package org.cuminrack.relay;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.cuminrack.http.Json;
import org.xnio.XnioExecutor;

/**
 * Checks over new connections whether the upstream process that ran a request is still running.
 *
 * <p>A process that is ending may still accept connections for a moment and then reset them. A
 * broken connection is therefore inconclusive: the probe retries until the connection is refused,
 * the upstream responds, or the silence timeout expires.
 */
final class UpstreamProbe implements UpstreamListener {
  private static final int STATUS_OK = 200;
  private static final int MAX_RESPONSE_BYTES = 16 << 10;

  /** Delay after a broken connection; must be well below the shortest silence timeout. */
  private static final long RETRY_DELAY_MILLIS = 20;

  private final UpstreamProcess target;
  private final IoContext io;
  private final Consumer<UpstreamLoss> onResult;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private UpstreamExchange exchange;
  private XnioExecutor.Key timer;
  private int status;
  private boolean done;

  private UpstreamProbe(UpstreamProcess target, IoContext io, Consumer<UpstreamLoss> onResult) {
    this.target = target;
    this.io = io;
    this.onResult = onResult;
  }

  /**
   * Starts a probe; {@code onResult} is called once on the I/O thread, within the silence timeout.
   */
  static void start(UpstreamProcess target, IoContext io, Consumer<UpstreamLoss> onResult) {
    UpstreamProbe probe = new UpstreamProbe(target, io, onResult);
    probe.timer =
        io.timeout(
            io.bounds().silenceTimeout().toMillis(), () -> probe.finish(UpstreamLoss.UNREACHABLE));
    probe.open();
  }

  private void open() {
    if (!done) {
      body.reset();
      exchange = io.open(UpstreamRequest.get(target.address(), "/v1/status"), this);
    }
  }

  @Override
  public void notSent(NotSentReason reason) {
    switch (reason) {
      case REFUSED -> finish(UpstreamLoss.PROCESS_DIED);
      case RESET -> retry();
      case NO_CONNECTION, NOT_PERMITTED -> finish(UpstreamLoss.UNREACHABLE);
    }
  }

  @Override
  public void responseStarted(int responseStatus, HeaderMap headers) {
    status = responseStatus;
  }

  @Override
  public void bodyReceived(ByteBuffer bytes) {
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    body.writeBytes(copy);
    if (body.size() > MAX_RESPONSE_BYTES) {
      finish(UpstreamLoss.UNREACHABLE);
    }
  }

  @Override
  public void completed() {
    String bootId =
        Json.readTree(body.toByteArray())
            .map(tree -> tree.path("boot_id"))
            .filter(JsonNode::isTextual)
            .map(node -> node.map(JsonNode::textValue).getOrElse(""))
            .getOrElse("");
    boolean isOtherProcess =
        status == STATUS_OK && !bootId.isEmpty() && !bootId.equals(target.bootId());
    finish(isOtherProcess ? UpstreamLoss.PROCESS_DIED : UpstreamLoss.GENERATION_NOT_FOUND);
  }

  @Override
  public void failed(String detail) {
    retry();
  }

  private void retry() {
    io.after(RETRY_DELAY_MILLIS, this::open);
  }

  private void finish(UpstreamLoss loss) {
    if (done) {
      return;
    }
    done = true;
    timer.remove();
    if (exchange != null) {
      exchange.close();
    }
    onResult.accept(loss);
  }
}
