package org.cuminrack.system;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The result of running the binary until it exits.
 *
 * @param stderr the standard error without log lines
 */
record BinaryRun(int exitCode, String stdout, String stderr) {

  static BinaryRun execute(Path folder, String... arguments)
      throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("cuminrack.binary"));
    command.addAll(Arrays.asList(arguments));
    Path stderrFile = Files.createTempFile(folder, "run-", ".err");
    Process process = new ProcessBuilder(command).redirectError(stderrFile.toFile()).start();
    String stdout = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    int exitCode = process.waitFor();
    String stderr =
        Files.readString(stderrFile)
            .lines()
            .filter(each -> !each.startsWith("time="))
            .reduce("", (lines, each) -> lines + each + "\n");
    return new BinaryRun(exitCode, stdout, stderr);
  }
}
