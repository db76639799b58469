package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
class StopLogTest {
  @TempDir Path folder;

  /** Guards against log handlers that the JVM removes as soon as a planned stop begins. */
  @Test
  void shouldLogAPlannedStopToItsEnd() throws Exception {
    RunningProcess process =
        RunningProcess.start(folder, "gateway", "gateway", "--settings", settings().toString());
    process.awaitStarted("vm");

    process.terminate();

    assertThat(process.awaitExit()).isEqualTo(0);
    assertThat(process.logText()).contains("event=stopping vm=gateway-1");
    assertThat(process.logText()).contains("event=stopped vm=gateway-1");
  }

  private Path settings() throws Exception {
    String text =
        """
        vm: gateway-1
        region: local
        data_centre: local-a
        wire_address: 127.0.0.1:%d
        http_address: 127.0.0.1:%d
        caller_address: 127.0.0.1:%d
        ready_address: 127.0.0.1:%d
        stop_timeout_millis: 100
        control_seeds: ["127.0.0.1:%d"]
        """
            .formatted(
                FreePorts.port(),
                FreePorts.port(),
                FreePorts.port(),
                FreePorts.port(),
                FreePorts.port());
    return Files.writeString(folder.resolve("gateway.yaml"), text);
  }
}
