package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that only the adapter package uses the platform's names. */
class PlatformNamesTest {
  private static final Path SOURCES = Path.of("src/main/java/org/cuminrack");
  private static final Pattern PLATFORM_NAME =
      Pattern.compile(
          "cuminrack/(resolve|ready|evacuate|instances|config/|rollouts/)|Attempt-Id|Token-Counts|Length-Hint"
              + "|Prompt-Prefix|Server-Seal|Server-Load|Not-Executed|Expect-Instance|Deadline-Ms"
              + "|Kv-(From|Backup|Fetch)|Pin-Ms|path-prefix|kv-capacity|call-seq|cold-left-ms"
              + "|duration-s|rolled_back");

  @Test
  void shouldUsePlatformNamesInTheAdapterOnly() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      List<Path> filesWithPlatformNames =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> !file.startsWith(SOURCES.resolve("platform")))
              .filter(PlatformNamesTest::usesPlatformName)
              .toList();

      assertThat(filesWithPlatformNames).isEmpty();
    }
  }

  private static boolean usesPlatformName(Path file) {
    try {
      return PLATFORM_NAME.matcher(Files.readString(file)).find();
    } catch (IOException e) {
      throw new AssertionError("expected a readable file: " + file, e);
    }
  }
}
