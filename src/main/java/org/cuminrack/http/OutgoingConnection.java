package org.cuminrack.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.net.URI;
import java.util.function.UnaryOperator;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * A connection of the HTTP client, from the attempt to open it to its end. All connections to HTTP
 * servers are opened and ended here.
 *
 * <p>While a response is due, the client's own {@code close} leaves the socket open for seconds to
 * wait for the server; this class closes the connection below the client. Thread-safe.
 */
public final class OutgoingConnection {
  private final String address;
  private final UnaryOperator<StreamSourceConduit> inputFilter;
  private IoFuture<StreamConnection> opening;
  private StreamConnection connection;
  private boolean ended;

  private OutgoingConnection(String address, UnaryOperator<StreamSourceConduit> inputFilter) {
    this.address = address;
    this.inputFilter = inputFilter;
  }

  /** Creates a connection to a host and port, which is not opened yet. */
  public static OutgoingConnection to(String address) {
    return new OutgoingConnection(address, UnaryOperator.identity());
  }

  /** Returns a connection whose input passes a filter before the HTTP client parses it. */
  public OutgoingConnection filteredBy(UnaryOperator<StreamSourceConduit> filter) {
    return new OutgoingConnection(address, filter);
  }

  /**
   * Opens the connection; must be called once, on the I/O thread.
   *
   * @param callback not called once the connection has been closed or aborted
   */
  public void open(
      XnioIoThread thread, ByteBufferPool buffers, ClientCallback<ClientConnection> callback) {
    if (isEnded()) {
      return;
    }
    UndertowClient.getInstance()
        .connect(
            callback,
            URI.create("http://" + address),
            ConnectingIoThread.of(thread, this),
            buffers,
            OptionMap.create(Options.TCP_NODELAY, true));
  }

  synchronized void opening(IoFuture<StreamConnection> future) {
    opening = future;
  }

  /** Takes the connection below the client; returns false if it has been ended already. */
  boolean opened(StreamConnection newConnection) {
    ConduitStreamSourceChannel input = newConnection.getSourceChannel();
    input.setConduit(inputFilter.apply(input.getConduit()));
    boolean open;
    synchronized (this) {
      open = !ended;
      connection = newConnection;
    }
    if (!open) {
      IoUtils.safeClose(newConnection);
    }
    return open;
  }

  private synchronized boolean isEnded() {
    return ended;
  }

  /** Ends the connection after its response is complete, or before anything was sent. */
  public void close() {
    end(false);
  }

  /**
   * Gives the exchange up: ends the attempt to connect, or resets the connection, so that what the
   * server hasn't received yet is discarded.
   */
  public void abort() {
    end(true);
  }

  private void end(boolean reset) {
    IoFuture<StreamConnection> unfinished;
    StreamConnection open;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      open = connection;
      unfinished = opening;
    }
    if (open != null) {
      if (reset) {
        SocketReset.onClose(open);
      }
      IoUtils.safeClose(open);
    } else if (unfinished != null) {
      unfinished.cancel();
    }
  }
}
