package org.cuminrack.system;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports that nobody listens on, each given out once in a run. They lie below the range that the
 * system gives to outgoing connections, so that no connection takes one before it is bound.
 */
public final class FreePorts {
  private static final int FIRST = 12_000;
  private static final int LAST = 31_999;
  private static final int BLOCK = 997;

  /** Different runs on one machine begin in different places. */
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * BLOCK % (LAST - FIRST)));

  private FreePorts() {}

  /** Returns distinct loopback addresses with free ports. */
  public static List<String> addresses(int count) {
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      addresses.add("127.0.0.1:" + port());
    }
    return addresses;
  }

  /** Returns a port that is free on every loopback address. */
  public static int port() {
    for (int tries = 0; tries < LAST - FIRST; tries++) {
      int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), LAST - FIRST);
      if (isFree(port)) {
        return port;
      }
    }
    throw new AssertionError("expected a free port from " + FIRST + " to " + LAST);
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port)) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
