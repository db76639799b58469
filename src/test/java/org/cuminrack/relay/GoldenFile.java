package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Compares transcripts with the expected ones in {@code src/test/resources/golden}. Run with {@code
 * -Dcuminrack.golden.record=true} to overwrite the expected transcripts.
 */
final class GoldenFile {
  private static final Path FOLDER = Path.of("src", "test", "resources", "golden");

  private GoldenFile() {}

  static void check(String name, String transcript) throws IOException {
    Path file = FOLDER.resolve(name + ".txt");
    if (Boolean.getBoolean("cuminrack.golden.record")) {
      Files.createDirectories(FOLDER);
      Files.writeString(file, transcript);
    }
    assertThat(transcript).isEqualTo(Files.readString(file));
  }
}
