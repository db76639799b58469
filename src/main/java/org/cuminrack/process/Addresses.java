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
    return host(address) + ":" + port;
  }

  private static String host(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return host.indexOf(':') < 0 ? host : "[" + host + "]";
  }
}
