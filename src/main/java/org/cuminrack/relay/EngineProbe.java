package org.cuminrack.relay;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.cuminrack.http.Json;
import org.xnio.XnioExecutor;

/**
 * Asks an upstream over fresh connections whether the life that ran a request still runs.
 *
 * <p>A process that ends still accepts for a moment and resets what it accepted, so a connection
 * that breaks says nothing: the probe asks again until it is refused, answered or out of time.
 */
final class EngineProbe implements UpstreamListener {
  private static final int STATUS_OK = 200;
  private static final int MAX_ANSWER_BYTES = 16 << 10;

  /** Pause after a connection that broke; a fraction of the shortest bound of silence. */
  private static final long AGAIN_MILLIS = 20;

  private final EngineTarget target;
  private final IoContext io;
  private final Consumer<EngineLoss> result;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private UpstreamExchange exchange;
  private XnioExecutor.Key timer;
  private int status;
  private boolean done;

  private EngineProbe(EngineTarget target, IoContext io, Consumer<EngineLoss> result) {
    this.target = target;
    this.io = io;
    this.result = result;
  }

  /** Asks; the result is called once on the I/O thread, within the bound of silence. */
  static void ask(EngineTarget target, IoContext io, Consumer<EngineLoss> result) {
    EngineProbe probe = new EngineProbe(target, io, result);
    probe.timer =
        io.after(io.bounds().silence().toMillis(), () -> probe.finish(EngineLoss.OUT_OF_REACH));
    probe.open();
  }

  private void open() {
    if (!done) {
      body.reset();
      exchange = io.open(UpstreamRequest.get(target.address(), "/v1/status"), this);
    }
  }

  @Override
  public void notSent(NotSent reason) {
    switch (reason) {
      case REFUSED -> finish(EngineLoss.PROCESS_DIED);
      case RESET -> askAgain();
      case NO_CONNECTION, VETOED -> finish(EngineLoss.OUT_OF_REACH);
    }
  }

  @Override
  public void answered(int answerStatus, HeaderMap headers) {
    status = answerStatus;
  }

  @Override
  public void received(ByteBuffer bytes) {
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    body.writeBytes(copy);
    if (body.size() > MAX_ANSWER_BYTES) {
      finish(EngineLoss.OUT_OF_REACH);
    }
  }

  @Override
  public void completed() {
    String bootId =
        Json.readTree(body.toByteArray())
            .map(tree -> tree.path("boot_id"))
            .filter(JsonNode::isTextual)
            .map(each -> each.map(JsonNode::textValue).getOrElse(""))
            .getOrElse("");
    boolean otherLife = status == STATUS_OK && !bootId.isEmpty() && !bootId.equals(target.bootId());
    finish(otherLife ? EngineLoss.PROCESS_DIED : EngineLoss.GENERATION_GONE);
  }

  @Override
  public void broken(String detail) {
    askAgain();
  }

  private void askAgain() {
    io.after(AGAIN_MILLIS, this::open);
  }

  private void finish(EngineLoss loss) {
    if (done) {
      return;
    }
    done = true;
    timer.remove();
    if (exchange != null) {
      exchange.close();
    }
    result.accept(loss);
  }
}
