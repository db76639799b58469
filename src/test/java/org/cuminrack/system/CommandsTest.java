package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cuminrack.examples.KambaClosingWeek;
import org.cuminrack.examples.LyzickaClosingWeek;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the commands as an operator does in a shell. */
@Tag("process")
class CommandsTest {
  @TempDir Path folder;

  @Test
  void shouldPrintHelpOfEveryCommand() throws Exception {
    List<String> commands =
        List.of(
            "apply",
            "diff",
            "get",
            "status",
            "drain",
            "undrain",
            "retire",
            "reinstate",
            "rollout",
            "dump",
            "check",
            "stand-in",
            "control",
            "entry",
            "demo",
            "load");
    for (String each : commands) {
      BinaryRun help = run(each, "--help");

      assertThat(help.stdout()).startsWith("usage: cuminrack " + each);
      assertThat(help.exitCode()).isEqualTo(0);
    }
  }

  @Test
  void shouldRejectAnUnknownCommandWithExitCodeTwo() throws Exception {
    assertThat(run("serve").exitCode()).isEqualTo(2);
  }

  @Test
  void shouldReportASettingsErrorBeforeOpeningAnyResource() throws Exception {
    Path file = Files.writeString(folder.resolve("entry.yaml"), "vm: entry-1\nport: 80\n");

    BinaryRun run = run("entry", "--settings", file.toString());

    assertThat(run.exitCode()).isEqualTo(2);
    assertThat(run.stderr()).contains("entry.yaml:2: port: expected one of address_ttl_millis,");
  }

  @Test
  void shouldReportThatControlIsUnreachable() throws Exception {
    String unusedAddress = FreePorts.addresses(1).get(0);

    BinaryRun run = run("get", "--control", unusedAddress, "--timeout-millis", "100");

    assertThat(run.exitCode()).isEqualTo(1);
    assertThat(run.stderr()).startsWith("control can't be reached: " + unusedAddress);
  }

  @Test
  void shouldValidateTheConfigurationsOfBothShops() throws Exception {
    BinaryRun lyzicka = run("check", plan("lyzicka.yaml", LyzickaClosingWeek.plan().toYaml()));
    BinaryRun kamba = run("check", plan("kamba.yaml", KambaClosingWeek.plan().toYaml()));

    assertThat(lyzicka.exitCode()).isEqualTo(0);
    assertThat(kamba.stdout()).endsWith("kamba.yaml: no errors\n");
  }

  @Test
  void shouldApplyDiffGetUndrainAndRejectAStaleRevision() throws Exception {
    try (TestCluster cluster =
        TestCluster.in(folder).withControlProcesses(1).withEntries(1).start()) {
      String control = cluster.controlAddresses().get(0);
      String file = plan("plan.yaml", LyzickaClosingWeek.plan().toYaml());

      BinaryRun applied = run("apply", file, "--control", control, "--change-id", "closing-1");
      assertThat(applied.exitCode()).isEqualTo(0);
      assertThat(applied.stdout()).contains("+ organisation/parents ");
      assertThat(applied.stdout()).contains("accepted change-id=closing-1 revision=");
      assertThat(applied.stdout()).contains("in force everywhere");

      BinaryRun reapplied = run("apply", file, "--control", control);
      assertThat(reapplied.stdout()).isEqualTo("nothing-to-change\n");

      BinaryRun retrieved = run("get", "--control", control);
      assertThat(retrieved.stdout()).endsWith("\n" + LyzickaClosingWeek.plan().toYaml());

      String otherFile = plan("other.yaml", KambaClosingWeek.plan().toYaml());
      BinaryRun diff = run("diff", otherFile, "--control", control);
      assertThat(diff.stdout()).contains("+ organisation/buyers ");
      assertThat(diff.stdout()).doesNotContain("route/shop");

      BinaryRun stale = run("undrain", "bratislava-2", "--control", control, "--at-revision", "1");
      assertThat(stale.exitCode()).isEqualTo(3);
      assertThat(stale.stderr()).startsWith("conflict: data-centre/bratislava-2: expected");

      BinaryRun json = run("undrain", "bratislava-2", "--control", control, "--output", "json");
      assertThat(json.stdout()).contains("{\"state\":\"in-force\",");

      BinaryRun status = run("status", "--control", control);
      assertThat(status.stdout()).contains("entry-1");

      BinaryRun dump = run("dump", "--address", cluster.entryAddresses().get(0));
      assertThat(dump.stdout()).contains("\"lease_fresh\" : true");
    }
  }

  private BinaryRun run(String... arguments) throws IOException, InterruptedException {
    return BinaryRun.execute(folder, arguments);
  }

  private String plan(String name, String yaml) throws IOException {
    return Files.writeString(folder.resolve(name), yaml).toString();
  }
}
