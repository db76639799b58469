package org.cuminrack.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LoadCommandTest {
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private PrintStream originalErr;

  @BeforeEach
  void setUp() {
    originalErr = System.err;
    System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
  }

  @AfterEach
  void tearDown() {
    System.setErr(originalErr);
  }

  @Test
  void shouldListThePoliciesIfOneIsUnknown() {
    ExitCode code = Main.run("load", "compare", "--profile", "lyzicka", "--policies", "best");

    assertThat(code).isEqualTo(ExitCode.USAGE);
    assertThat(normalisedErrors())
        .contains("expectedoneofround-robin,least-connections,predictive");
    assertThat(normalisedErrors()).contains("found'best'");
  }

  @Test
  void shouldRejectALoadThatIsNotAPercentage() {
    ExitCode code = Main.run("load", "compare", "--profile", "lyzicka", "--loads", "full");

    assertThat(code).isEqualTo(ExitCode.USAGE);
    assertThat(normalisedErrors()).contains("expectedawholenumberfrom1to1000,found'full'");
  }

  @Test
  void shouldRequireEntries() {
    ExitCode code = Main.run("load", "--profile", "lyzicka");

    assertThat(code).isEqualTo(ExitCode.USAGE);
    assertThat(normalisedErrors()).contains("--entries:expectedHOST:PORT,…,foundnothing");
  }

  @Test
  void shouldReportAnUnreadableProfile() {
    ExitCode code = Main.run("load", "--profile", "none.yaml");

    assertThat(code).isEqualTo(ExitCode.USAGE);
    assertThat(normalisedErrors()).contains("none.yaml");
  }

  /** Returns the printed errors without white space, since the parser wraps lines. */
  private String normalisedErrors() {
    return errors.toString(StandardCharsets.UTF_8).replaceAll("\\s+", "");
  }
}
