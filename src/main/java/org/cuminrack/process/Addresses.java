package org.cuminrack.process;

import java.net.InetSocketAddress;

/** Addresses as text. */
final class Addresses {

  private Addresses() {}

  /** Returns host and port. */
  static String text(InetSocketAddress address) {
    return text(address, address.getPort());
  }

  /** Returns the address's host with another port. */
  static String text(InetSocketAddress address, int port) {
    return address.getHostString() + ":" + port;
  }
}
