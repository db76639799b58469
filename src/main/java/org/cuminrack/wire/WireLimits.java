package org.cuminrack.wire;

import java.time.Duration;

/** Bounds of the connections between cuminrack's own processes. */
final class WireLimits {
  /** The protocol's version; a peer with another one is refused. */
  static final int VERSION = 1;

  /** The largest message, in bytes. */
  static final int MAX_MESSAGE_BYTES = 16 << 20;

  /** How often an idle connection carries a heartbeat. */
  static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

  /** A connection silent for longer is dead and gets replaced. */
  static final Duration SILENCE_BOUND = Duration.ofMillis(1500);

  /** How long a connection may take to be made. */
  static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private WireLimits() {}
}
