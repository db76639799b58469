package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A process that went on without memory could have lost any of its threads. */
@Tag("process")
class OutOfMemoryTest {
  private static final int EXIT_CODE_OF_THE_JVM = 3;
  private static final int BODY_BYTES = 4_000_000;
  private static final int REQUESTS = 40;

  @TempDir Path folder;

  @Test
  void shouldEndTheProcessSoThatItIsStartedAgain() throws Exception {
    List<Socket> callers = new ArrayList<>();
    try (TestCluster cluster =
        TestCluster.in(folder).withJavaOptions("-Xmx24m").withControlProcesses(1).start()) {
      for (int i = 0; i < REQUESTS; i++) {
        callers.add(sendAllButTheLastByte(cluster.controlAddresses().get(0)));
      }

      assertThat(cluster.process("control-1").awaitExit()).isEqualTo(EXIT_CODE_OF_THE_JVM);
    } finally {
      for (Socket caller : callers) {
        caller.close();
      }
    }
  }

  /** Sends a request that the process holds in memory until its last byte arrives. */
  private static Socket sendAllButTheLastByte(String address) throws IOException {
    int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    Socket caller = new Socket();
    String head =
        "POST /v1/changes HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
            + "Content-Length: "
            + BODY_BYTES
            + "\r\n\r\n";
    try {
      caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      caller.getOutputStream().write(new byte[BODY_BYTES - 1]);
    } catch (IOException e) {
      // The process has ended.
    }
    return caller;
  }
}
