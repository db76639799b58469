package org.cuminrack.quorum;

import java.time.Duration;
import java.util.Map;
import org.cuminrack.quorum.internal.Packet;
import org.cuminrack.quorum.internal.PacketCodec;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;

/** Sends packets to the other VMs; a lost one is the core's to repeat. Safe for many threads. */
final class PacketSender {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final Map<String, String> addresses;
  private final WireClient client;

  PacketSender(Map<String, String> addresses, WireClient client) {
    this.addresses = addresses;
    this.client = client;
  }

  void send(Packet packet) {
    String address = addresses.get(packet.toVm());
    if (address != null) {
      client.call(address, Method.QUORUM_MESSAGE, PacketCodec.encode(packet), TIMEOUT);
    }
  }
}
