package org.cuminrack.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Stands for an I/O thread where the HTTP client opens a connection, so that an {@link
 * OutgoingConnection} gets hold of the connection below the client, which offers no other way to
 * it. Never started; tasks go to the thread that it stands for.
 */
final class ConnectingIoThread extends XnioIoThread {
  private static final ThreadLocal<ConnectingIoThread> CURRENT = new ThreadLocal<>();

  private final XnioIoThread thread;
  private OutgoingConnection next;

  private ConnectingIoThread(XnioIoThread thread) {
    super(thread.getWorker(), thread.getNumber());
    this.thread = thread;
  }

  /**
   * Returns a thread whose next connection is the given one; must be called on the I/O thread,
   * right before the connection is opened.
   */
  static ConnectingIoThread of(XnioIoThread thread, OutgoingConnection next) {
    ConnectingIoThread connecting = CURRENT.get();
    if (connecting == null || connecting.thread != thread) {
      connecting = new ConnectingIoThread(thread);
      CURRENT.set(connecting);
    }
    connecting.next = next;
    return connecting;
  }

  @Override
  public IoFuture<StreamConnection> openStreamConnection(
      SocketAddress destination,
      ChannelListener<? super StreamConnection> openListener,
      OptionMap options) {
    OutgoingConnection outgoing = next;
    IoFuture<StreamConnection> opening =
        thread.openStreamConnection(
            destination,
            connection -> {
              if (outgoing.opened(connection)) {
                openListener.handleEvent(connection);
              }
            },
            options);
    outgoing.opening(opening);
    return opening;
  }

  @Override
  public void execute(Runnable task) {
    thread.execute(task);
  }

  @Override
  public Key executeAfter(Runnable task, long delay, TimeUnit unit) {
    return thread.executeAfter(task, delay, unit);
  }

  @Override
  public Key executeAtInterval(Runnable task, long interval, TimeUnit unit) {
    return thread.executeAtInterval(task, interval, unit);
  }
}
