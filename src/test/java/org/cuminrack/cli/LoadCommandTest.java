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
  private PrintStream before;

  @BeforeEach
  void setUp() {
    before = System.err;
    System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
  }

  @AfterEach
  void tearDown() {
    System.setErr(before);
  }

  @Test
  void shouldNameTheKnownPoliciesForAnUnknownOne() {
    ExitCode code = Main.run("load", "compare", "--profile", "lyzicka", "--policies", "best");

    assertThat(code).isEqualTo(ExitCode.USAGE);
    assertThat(text()).contains("expectedoneofround-robin,least-connections,predictive");
    assertThat(text()).contains("found'best'");
  }

  @Test
  void shouldRefuseALoadThatIsNoPercent() {
    ExitCode code = Main.run("load", "compare", "--profile", "lyzicka", "--loads", "full");

    assertThat(code).isEqualTo(ExitCode.USAGE);
    assertThat(text()).contains("expectedawholenumberfrom1to1000,found'full'");
  }

  @Test
  void shouldAskForEntries() {
    ExitCode code = Main.run("load", "--profile", "lyzicka");

    assertThat(code).isEqualTo(ExitCode.USAGE);
    assertThat(text()).contains("--entries:expectedHOST:PORT,…,foundnothing");
  }

  @Test
  void shouldSayWhatIsWrongWithAProfile() {
    ExitCode code = Main.run("load", "--profile", "none.yaml");

    assertThat(code).isEqualTo(ExitCode.USAGE);
    assertThat(text()).contains("none.yaml");
  }

  /** Returns what was printed, without the white space that the parser wraps lines with. */
  private String text() {
    return errors.toString(StandardCharsets.UTF_8).replaceAll("\\s+", "");
  }
}
