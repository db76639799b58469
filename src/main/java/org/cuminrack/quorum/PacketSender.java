package org.cuminrack.quorum;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import org.cuminrack.quorum.internal.Packet;
import org.cuminrack.quorum.internal.PacketCodec;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;

/** Sends packets to the other VMs without retries; the core resends lost messages. Thread-safe. */
final class PacketSender {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final Function<String, Optional<String>> addresses;
  private final WireClient client;
  private final LongAdder packets = new LongAdder();
  private final LongAdder bytes = new LongAdder();

  PacketSender(Function<String, Optional<String>> addresses, WireClient client) {
    this.addresses = addresses;
    this.client = client;
  }

  void send(Packet packet) {
    addresses.apply(packet.toVm()).ifPresent(address -> send(address, packet));
  }

  private void send(String address, Packet packet) {
    byte[] payload = PacketCodec.encode(packet);
    packets.increment();
    bytes.add(payload.length);
    client.call(address, Method.QUORUM_MESSAGE, payload, TIMEOUT);
  }

  long packetsSent() {
    return packets.sum();
  }

  /** Returns the number of payload bytes sent, without the wire envelopes. */
  long bytesSent() {
    return bytes.sum();
  }
}
