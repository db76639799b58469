package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.cuminrack.platform.PlatformFixture.KEY;

import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SilentEngineTest {
  /** Longer than an engine may be silent before its streams are resumed elsewhere. */
  private static final Duration PAUSE = Duration.ofSeconds(4);

  @TempDir Path folder;
  private PlatformFixture platform;

  @BeforeEach
  void start() throws Exception {
    platform = PlatformFixture.start(folder);
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
  }

  /** Guards against sound streams that are cut because their engine's announcements are late. */
  @Test
  void shouldNotCutAStreamThatCannotResumeElsewhere() throws Exception {
    FakeUpstream engine =
        platform.startUpstream().withScript(FakeUpstream.streamingSlowly(PAUSE, 1, 2));
    platform.announce("e-1", "llm", engine, "dc-a", "ready", 1);
    PlatformFixture.await(
        "the gateway to know the engine", () -> platform.dump().contains("\"e-1\""));

    String response = platform.call("p-1", "POST", "/plan/x", KEY, "Token-Counts: 900,8");

    assertThat(response).endsWith("data: t2\n\n\r\n0\r\n\r\n");
  }
}
