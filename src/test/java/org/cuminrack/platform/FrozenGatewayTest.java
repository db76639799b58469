package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A gateway freezes and wakes up again while a stream runs. */
@Tag("process")
class FrozenGatewayTest {
  /** Longer than an engine may be silent. */
  private static final Duration FREEZE_TIME = Duration.ofSeconds(4);

  @TempDir Path folder;

  @Test
  void shouldNotCutAStreamWhoseEventsCameWhileTheGatewayWasFrozen() throws Exception {
    try (GatewayCluster cluster = GatewayCluster.start(folder, 1, 1)) {
      CrashingUpstream engine = cluster.upstreams("llm").get(0);
      engine.hold();
      cluster.recover();
      try (Socket caller = cluster.openStream("gateway-1", "a-1", "/plan/started")) {
        InputStream in = caller.getInputStream();
        String first = readUntil(in, "id: 1");

        cluster.process("gateway-1").freeze();
        long frozenNanos = System.nanoTime();
        engine.releaseHeld();
        PlatformFixture.await(
            "the engine to send the rest, and the freeze to last",
            () ->
                engine.heldRequests() == 0
                    && System.nanoTime() - frozenNanos > FREEZE_TIME.toNanos());
        cluster.process("gateway-1").thaw();

        String rest = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        assertThat(first).startsWith("HTTP/1.1 200 ");
        assertThat(rest).contains("id: 3");
        assertThat(rest).endsWith("0\r\n\r\n");
      }
    }
  }

  private static String readUntil(InputStream in, String text) throws IOException {
    StringBuilder read = new StringBuilder();
    while (read.indexOf(text) < 0) {
      int next = in.read();
      if (next < 0) {
        throw new AssertionError("expected " + text + ", found the end after " + read);
      }
      read.append((char) next);
    }
    return read.toString();
  }
}
