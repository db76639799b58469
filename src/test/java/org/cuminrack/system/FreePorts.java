package org.cuminrack.system;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Ports that nobody listens on. */
final class FreePorts {

  private FreePorts() {}

  /** Returns distinct loopback addresses with free ports. */
  static List<String> addresses(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      List<String> addresses = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        addresses.add("127.0.0.1:" + socket.getLocalPort());
      }
      return addresses;
    } finally {
      for (ServerSocket each : sockets) {
        each.close();
      }
    }
  }
}
