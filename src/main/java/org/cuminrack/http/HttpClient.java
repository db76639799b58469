package org.cuminrack.http;

import com.google.protobuf.ByteString;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminrack.lifecycle.ManagedService;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Sends HTTP requests, each over a new connection. */
public final class HttpClient implements ManagedService {
  private static final int IO_THREADS = 2;
  private static final int BUFFER_BYTES = 8 << 10;

  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
  private XnioWorker worker;

  @Override
  public void start() {
    OptionMap options =
        OptionMap.builder()
            .set(Options.WORKER_IO_THREADS, IO_THREADS)
            .set(Options.WORKER_TASK_CORE_THREADS, 1)
            .set(Options.WORKER_TASK_MAX_THREADS, 1)
            .set(Options.TCP_NODELAY, true)
            .set(Options.THREAD_DAEMON, true)
            .getMap();
    try {
      worker = Xnio.getInstance().createWorker(options);
    } catch (IOException e) {
      throw new IllegalStateException("can't create an HTTP worker", e);
    }
  }

  /**
   * Sends a request and reads the complete response. The future always completes normally, at the
   * latest after the call's timeout; the connection is closed when it completes.
   */
  public CompletableFuture<Either<HttpFailure, HttpResponse>> send(HttpCall call) {
    return execute(call, HttpExchange.buffered(call));
  }

  /**
   * Sends a request and passes the response's body to {@code onBytes} as it arrives, on a network
   * thread; the returned response has an empty body. The future completes in the same cases as that
   * of {@link #send(HttpCall)}.
   */
  public CompletableFuture<Either<HttpFailure, HttpResponse>> stream(
      HttpCall call, Consumer<ByteString> onBytes) {
    return execute(call, HttpExchange.streamed(call, onBytes));
  }

  private CompletableFuture<Either<HttpFailure, HttpResponse>> execute(
      HttpCall call, HttpExchange exchange) {
    XnioIoThread thread = worker.getIoThread();
    thread.execute(() -> exchange.open(thread, buffers));
    CompletableFuture<Either<HttpFailure, HttpResponse>> response = exchange.response();
    long timeoutMillis = call.timeout().toMillis();
    HttpFailure timedOut =
        new HttpFailure.NoAnswer(call.address(), "no answer in " + timeoutMillis + " ms");
    return response.completeOnTimeout(Either.left(timedOut), timeoutMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    if (worker != null) {
      worker.shutdownNow();
      worker = null;
    }
  }
}
