package org.cuminrack.cli;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RehearsalTest {
  @TempDir Path folder;

  @Test
  void shouldServeEachKindOfRequestInTwoLives() throws Exception {
    Rehearsal rehearsal = new Rehearsal(folder);

    rehearsal.play(1);
    rehearsal.play(2);

    assertThat(Files.isDirectory(folder.resolve("data-127.0.0.1"))).isTrue();
  }
}
