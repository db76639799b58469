package org.cuminrack.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.cuminrack.quorum.LossTolerance;
import org.cuminrack.yaml.YamlError;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsFileTest {
  private static final String CONTROL =
      """
      vm: control-1
      region: eu-1
      data_centre: dc-a
      wire_address: 127.0.0.1:7101
      http_address: 127.0.0.1:7201
      data_folder: data
      voters:
        control-1: 127.0.0.1:7101
        control-2: 127.0.0.1:7102
      """;

  private static final String OPEN_CONTROL =
      """
      vm: 10.1.0.1
      region: eu-1
      data_centre: dc-a
      wire_address: 10.1.0.1:7200
      http_address: 10.1.0.1:7215
      data_folder: data
      control_address: 10.1.0.1:8748
      directory_address: 10.1.0.1:8746
      """;

  private static final String SEEDS =
      "control_seeds: [\"10.1.0.1:8748\", \"10.1.0.2:8748\", \"10.1.0.3:8748\"]\n";

  private static final String GATEWAY =
      """
      vm: gateway-1
      region: eu-1
      data_centre: dc-a
      wire_address: 127.0.0.1:7101
      http_address: 127.0.0.1:7201
      caller_address: 127.0.0.1:8080
      ready_address: 127.0.0.1:8081
      control_seeds: ["127.0.0.1:7102"]
      """;

  @TempDir Path folder;

  @Test
  void shouldReadTheSettingsOfAControlProcess() throws IOException {
    ControlSettings settings = SettingsFile.control(file(CONTROL)).get();

    assertThat(settings.node().vm()).isEqualTo("control-1");
    assertThat(settings.voters()).containsEntry("control-2", "127.0.0.1:7102");
    assertThat(settings.electionTimeout()).isEqualTo(Duration.ofMillis(500));
  }

  @Test
  void shouldReadARetrySlackWithAFraction() throws IOException {
    Path file = file(GATEWAY + "retry_slack: 35.806451612903224\n");

    assertThat(SettingsFile.gateway(file).get().retrySlack()).isEqualTo(35.806451612903224);
  }

  @Test
  void shouldRejectARetrySlackThatIsNoNumberOfRetries() throws IOException {
    for (String invalid : List.of("-0.5", "NaN", "many", "1e9")) {
      Path file = file(GATEWAY + "retry_slack: " + invalid + "\n");

      assertThat(SettingsFile.gateway(file).getLeft().get(0).toString())
          .endsWith("retry_slack: expected a number from 0 to 100000, found '" + invalid + "'");
    }
  }

  @Test
  void shouldReportThePositionKeyAndExpectedValueOfAnError() throws IOException {
    assertThat(errors(CONTROL.replace("vm: control-1", "vm: Control 1")).get(0))
        .endsWith(
            "settings.yaml:1: vm: expected a name of 1 to 63 of a-z, 0-9, '.', '_' and '-',"
                + " beginning with a letter or digit, found 'Control 1'");
  }

  @Test
  void shouldRejectAnUnknownKey() throws IOException {
    assertThat(errors(CONTROL + "hartbeat_millis: 5\n").get(0))
        .contains("settings.yaml:10: hartbeat_millis: expected one of control_seeds, data_centre,");
  }

  @Test
  void shouldRejectAHostNameInsteadOfAnIpAddress() throws IOException {
    assertThat(errors(CONTROL.replace("127.0.0.1:7201", "localhost:7201"))).hasSize(1);
  }

  @Test
  void shouldRejectANumberOutOfRange() throws IOException {
    assertThat(errors(CONTROL + "heartbeat_millis: 5\n").get(0))
        .endsWith("heartbeat_millis: expected a whole number from 10 to 1000, found '5'");
  }

  @Test
  void shouldRejectAVmThatIsNotAVoter() throws IOException {
    assertThat(errors(CONTROL.replace("vm: control-1", "vm: control-9")).get(0))
        .endsWith("voters: expected an entry for this VM (control-9), found control-1, control-2");
  }

  @Test
  void shouldReadTheLossesThatAnOpenGroupTolerates() throws IOException {
    Path file =
        file(OPEN_CONTROL + SEEDS + "tolerated_vm_losses: 2\ntolerated_data_centre_losses: 1\n");

    assertThat(SettingsFile.control(file).get().tolerance()).isEqualTo(new LossTolerance(2, 1));
  }

  @Test
  void shouldTolerateTheLossOfAMinorityOfSeedsOrVotersByDefault() throws IOException {
    assertThat(SettingsFile.control(file(OPEN_CONTROL + SEEDS)).get().tolerance())
        .isEqualTo(new LossTolerance(1, 0));
    assertThat(SettingsFile.control(file(CONTROL)).get().tolerance())
        .isEqualTo(new LossTolerance(0, 0));
    assertThat(
            SettingsFile.control(file(CONTROL + "  control-3: 127.0.0.1:7103\n")).get().tolerance())
        .isEqualTo(new LossTolerance(1, 0));
  }

  @Test
  void shouldRejectLossesThatFixedVotersCannotTolerate() throws IOException {
    String threeVoters = CONTROL + "  control-3: 127.0.0.1:7103\n";

    assertThat(errors(threeVoters + "tolerated_vm_losses: 2\n"))
        .containsExactly(
            folder.resolve("settings.yaml")
                + ":11: tolerated_vm_losses: expected at most 1 with 3 voters, found '2'");
    assertThat(errors(threeVoters + "tolerated_data_centre_losses: 2\n"))
        .containsExactly(
            folder.resolve("settings.yaml")
                + ":11: tolerated_data_centre_losses: expected at most 1 with 3 voters, found '2'");
  }

  @Test
  void shouldRejectLossesThatAreNoNumber() throws IOException {
    for (String invalid : List.of("-1", "two", "1.5", "11")) {
      assertThat(errors(OPEN_CONTROL + SEEDS + "tolerated_vm_losses: " + invalid + "\n").get(0))
          .endsWith(
              "tolerated_vm_losses: expected a whole number from 0 to 10, found '" + invalid + "'");
    }
  }

  @Test
  void shouldRejectAnEmptyListOfSeeds() throws IOException {
    assertThat(errors(OPEN_CONTROL + "control_seeds: []\n").get(0))
        .contains("settings.yaml:9: control_seeds: expected one or more addresses, found");
  }

  @Test
  void shouldReportAllErrorsAtOnce() throws IOException {
    // region, data_centre, wire_address, http_address, data_folder and voters are missing.
    assertThat(errors("vm: control-1\n")).hasSize(6);
  }

  @Test
  void shouldRejectAMissingFile() {
    assertThat(SettingsFile.control(folder.resolve("none.yaml")).getLeft().get(0).toString())
        .endsWith("none.yaml:1: expected a file, found none");
  }

  @Test
  void shouldRejectMalformedYaml() throws IOException {
    assertThat(errors("vm: a\nregion: [\n").get(0)).contains("expected well-formed YAML");
  }

  private List<String> errors(String text) throws IOException {
    return SettingsFile.control(file(text)).getLeft().stream().map(YamlError::toString).toList();
  }

  private Path file(String text) throws IOException {
    return Files.writeString(folder.resolve("settings.yaml"), text);
  }
}
