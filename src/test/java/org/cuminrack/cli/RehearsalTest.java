package org.cuminrack.cli;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RehearsalTest {
  @TempDir Path folder;

  @Test
  void shouldServeEachKindOfRequestBeforeAndAfterARestart() throws Exception {
    Rehearsal rehearsal = new Rehearsal(folder);

    rehearsal.run(1);
    rehearsal.run(2);

    try (Stream<Path> files = Files.list(folder)) {
      assertThat(files.filter(each -> each.getFileName().toString().startsWith("data-")).count())
          .isEqualTo(3);
    }
  }
}
