package org.cuminrack.cli;

import java.net.InetSocketAddress;

/** Parses addresses of the form {@code HOST:PORT}. */
final class HostAndPort {
  private static final int MAX_PORT = 65_535;

  private HostAndPort() {}

  /** Returns the address, or null if the text is malformed. */
  static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      boolean inRange = port >= 0 && port <= MAX_PORT;
      return inRange ? new InetSocketAddress(text.substring(0, colon), port) : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
