package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
class BusyPortTest {
  @TempDir Path folder;

  @Test
  void shouldReportAPortInUseWithoutAStackTrace() throws Exception {
    int usedPort = FreePorts.port();
    try (ServerSocket listener = new ServerSocket(usedPort, 1, InetAddress.getLoopbackAddress())) {
      assertThat(listener.isBound()).isTrue();

      RunningProcess process =
          RunningProcess.start(
              folder, "control", "control", "--settings", settings(usedPort).toString());

      assertThat(process.awaitExit()).isEqualTo(1);
      assertThat(process.logText()).contains("event=start-failed");
      assertThat(process.logText()).contains("wire_address: 127.0.0.1:" + usedPort);
      assertThat(process.logText()).doesNotContain("\tat ");
    }
  }

  private Path settings(int wirePort) throws Exception {
    String text =
        """
        vm: control-1
        region: local
        data_centre: local-a
        wire_address: 127.0.0.1:%d
        http_address: 127.0.0.1:%d
        data_folder: %s
        voters:
          control-1: 127.0.0.1:%d
        """
            .formatted(wirePort, FreePorts.port(), folder.resolve("data"), wirePort);
    return Files.writeString(folder.resolve("control.yaml"), text);
  }
}
