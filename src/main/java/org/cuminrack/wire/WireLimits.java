package org.cuminrack.wire;

import java.time.Duration;

/** Protocol version, timeouts and size limit of the connections between cuminrack processes. */
final class WireLimits {
  /** The protocol version; calls from a peer with another version are rejected. */
  static final int VERSION = 1;

  static final int MAX_MESSAGE_BYTES = 16 << 20;

  /** The interval of heartbeats on an idle connection. */
  static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

  /** A connection on which nothing is received for longer is closed. */
  static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1500);

  static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private WireLimits() {}
}
