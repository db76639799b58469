package org.cuminrack.cli;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

@Tag("process")
class BinaryTest {

  @Test
  void shouldPrintHelpAndExitWithZero() throws Exception {
    Process process = new ProcessBuilder(System.getProperty("cuminrack.binary"), "--help").start();

    String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

    assertThat(out).startsWith("usage: cuminrack");
    assertThat(process.waitFor()).isEqualTo(0);
  }
}
