package org.cuminrack.examples;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cuminrack.operator.ConfigurationFile;
import org.cuminrack.operator.Plan;
import org.junit.jupiter.api.Test;

class ClosingWeekTest {
  private static final Path GOLDEN = Path.of("src/test/resources/golden");

  @Test
  void shouldPrintLyzickasConfigurationAsRecorded() throws IOException {
    assertRecorded("lyzicka-closing-week.yaml", LyzickaClosingWeek.plan());
  }

  @Test
  void shouldPrintKambasConfigurationAsRecorded() throws IOException {
    assertRecorded("kamba-closing-week.yaml", KambaClosingWeek.plan());
  }

  @Test
  void shouldPrintYamlThatParsesToTheSameObjects() {
    assertRoundTrip(LyzickaClosingWeek.plan());
    assertRoundTrip(KambaClosingWeek.plan());
  }

  private static void assertRecorded(String name, Plan plan) throws IOException {
    Path golden = GOLDEN.resolve(name);
    if (Boolean.getBoolean("cuminrack.golden.record")) {
      Files.writeString(golden, plan.toYaml());
    }
    assertThat(plan.toYaml()).isEqualTo(Files.readString(golden));
  }

  private static void assertRoundTrip(Plan plan) {
    assertThat(ConfigurationFile.parse("plan", plan.toYaml()).get()).isEqualTo(plan.objects());
  }
}
