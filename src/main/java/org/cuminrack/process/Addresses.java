package org.cuminrack.process;

import java.net.InetSocketAddress;

/** Formats socket addresses as {@code host:port}. */
final class Addresses {

  private Addresses() {}

  /** Returns the address as {@code host:port}. */
  static String hostAndPort(InetSocketAddress address) {
    return hostAndPort(address, address.getPort());
  }

  /** Returns the address's host with the given port. */
  static String hostAndPort(InetSocketAddress address, int port) {
    return host(address) + ":" + port;
  }

  private static String host(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return host.indexOf(':') < 0 ? host : "[" + host + "]";
  }
}
