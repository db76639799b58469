package org.cuminrack.relay;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Stands for an I/O thread where the HTTP client opens a connection, and limits what the client
 * reads from it. The client parses responses without a limit of its own and offers no other hook
 * below its parser. Never started; tasks go to the thread that it stands for.
 */
final class LimitingIoThread extends XnioIoThread {
  private static final ThreadLocal<LimitingIoThread> CURRENT = new ThreadLocal<>();

  private final XnioIoThread thread;
  private ReadLimit nextLimit;

  private LimitingIoThread(XnioIoThread thread) {
    super(thread.getWorker(), thread.getNumber());
    this.thread = thread;
  }

  /**
   * Returns a thread that limits the next connection that it opens; must be called on the I/O
   * thread, right before the connection is opened.
   */
  static LimitingIoThread of(XnioIoThread thread, ReadLimit limit) {
    LimitingIoThread limiting = CURRENT.get();
    if (limiting == null || limiting.thread != thread) {
      limiting = new LimitingIoThread(thread);
      CURRENT.set(limiting);
    }
    limiting.nextLimit = limit;
    return limiting;
  }

  @Override
  public IoFuture<StreamConnection> openStreamConnection(
      SocketAddress destination,
      ChannelListener<? super StreamConnection> openListener,
      OptionMap options) {
    ReadLimit limit = nextLimit;
    return thread.openStreamConnection(
        destination,
        connection -> {
          ConduitStreamSourceChannel source = connection.getSourceChannel();
          source.setConduit(new LimitedSourceConduit(source.getConduit(), limit));
          openListener.handleEvent(connection);
        },
        options);
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
