package org.cuminrack.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import org.cuminrack.lifecycle.ManagedService;

/** An HTTP server on one address. */
public final class HttpServer implements ManagedService {
  private static final int DEFAULT_IO_THREADS = 2;
  private static final int WORKER_THREADS = 4;
  private static final int REQUEST_PARSE_TIMEOUT_MILLIS = 10_000;
  private static final int NO_REQUEST_TIMEOUT_MILLIS = 60_000;
  private static final int MAX_HEADER_BYTES = 16 << 10;

  private final InetSocketAddress address;
  private final HttpHandler handler;
  private final long maxBodyBytes;
  private final int ioThreads;
  private boolean countsBytes;
  private volatile Undertow undertow;

  public HttpServer(InetSocketAddress address, HttpHandler handler, long maxBodyBytes) {
    this(address, handler, maxBodyBytes, DEFAULT_IO_THREADS);
  }

  /** Creates a server with this number of I/O threads. */
  public HttpServer(
      InetSocketAddress address, HttpHandler handler, long maxBodyBytes, int ioThreads) {
    this.address = address;
    this.handler = handler;
    this.maxBodyBytes = maxBodyBytes;
    this.ioThreads = ioThreads;
  }

  /** Makes this server count the bytes of its connections; call before the start. */
  public HttpServer countingBytes() {
    countsBytes = true;
    return this;
  }

  /** Returns the bytes received and sent since the start; 0 if they are not counted. */
  public long transferredBytes() {
    Undertow running = undertow;
    if (running == null || !countsBytes) {
      return 0;
    }
    return running.getListenerInfo().stream()
        .map(Undertow.ListenerInfo::getConnectorStatistics)
        .mapToLong(counted -> counted.getBytesReceived() + counted.getBytesSent())
        .sum();
  }

  @Override
  public void start() {
    undertow =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString(), handler)
            .setIoThreads(ioThreads)
            .setWorkerThreads(WORKER_THREADS)
            .setServerOption(UndertowOptions.ENABLE_STATISTICS, countsBytes)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, maxBodyBytes)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLIS)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, NO_REQUEST_TIMEOUT_MILLIS)
            .build();
    try {
      undertow.start();
    } catch (RuntimeException e) {
      undertow = null;
      String hostAndPort = address.getHostString() + ":" + address.getPort();
      throw new IllegalStateException("HTTP on " + hostAndPort + ": " + rootMessage(e), e);
    }
  }

  private static String rootMessage(Throwable failure) {
    Throwable root = failure;
    while (root.getCause() != null) {
      root = root.getCause();
    }
    return root.getMessage();
  }

  /** Returns the bound port, which differs from the requested one if that was 0. */
  public int port() {
    return ((InetSocketAddress) undertow.getListenerInfo().get(0).getAddress()).getPort();
  }

  @Override
  public void stop() {
    if (undertow != null) {
      undertow.stop();
      undertow = null;
    }
  }
}
