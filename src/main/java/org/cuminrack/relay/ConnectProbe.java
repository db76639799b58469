package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Checks whether a process still listens at an upstream's address by opening a connection, without
 * sending anything.
 *
 * <p>A process that is ending may still accept connections for a moment, or accept and reset them,
 * and a connection may time out because this process was delayed, so the probe retries after each:
 * only a second accepted connection shows that a process listens.
 */
public final class ConnectProbe implements UpstreamListener {
  private static final Duration RETRY_DELAY = Duration.ofMillis(20);
  private static final int MIN_ACCEPTED = 2;
  private static final int MAX_RESETS = 10;
  private static final int MAX_TIMEOUTS = 2;

  private final String address;
  private final IoContext io;
  private final Consumer<Boolean> onResult;
  private int accepted;
  private int resets;
  private int timeouts;

  private ConnectProbe(String address, IoContext io, Consumer<Boolean> onResult) {
    this.address = address;
    this.io = io;
    this.onResult = onResult;
  }

  /**
   * Starts a probe.
   *
   * @param onResult called once on the I/O thread: true if the connection was refused, so no
   *     process listens; false if one listens or the host can't be reached
   */
  public static void start(String address, IoContext io, Consumer<Boolean> onResult) {
    new ConnectProbe(address, io, onResult).open();
  }

  private void open() {
    io.open(UpstreamRequest.get(address, "/"), this);
  }

  @Override
  public boolean maySend() {
    return false;
  }

  @Override
  public void notSent(NotSentReason reason) {
    boolean retry =
        switch (reason) {
          case RESET -> ++resets < MAX_RESETS;
          case NO_CONNECTION -> ++timeouts < MAX_TIMEOUTS;
          case NOT_PERMITTED -> ++accepted < MIN_ACCEPTED;
          case REFUSED -> false;
        };
    if (retry) {
      io.after(RETRY_DELAY.toMillis(), this::open);
    } else {
      onResult.accept(reason == NotSentReason.REFUSED);
    }
  }

  @Override
  public void responseStarted(int status, HeaderMap headers) {
    throw new IllegalStateException("a probe sends no request, but got a response");
  }

  @Override
  public void bodyReceived(ByteBuffer bytes) {
    throw new IllegalStateException("a probe sends no request, but got a response");
  }

  @Override
  public void completed() {
    throw new IllegalStateException("a probe sends no request, but got a response");
  }

  @Override
  public void failed(String detail) {
    throw new IllegalStateException("a probe sends no request, but lost a response: " + detail);
  }
}
