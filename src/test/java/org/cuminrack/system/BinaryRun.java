package org.cuminrack.system;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * One run of the binary to its end.
 *
 * @param out its standard output
 * @param err its standard error, without log lines
 */
record BinaryRun(int exit, String out, String err) {

  static BinaryRun of(Path folder, String... arguments) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("cuminrack.binary"));
    command.addAll(Arrays.asList(arguments));
    Path err = Files.createTempFile(folder, "run-", ".err");
    Process process = new ProcessBuilder(command).redirectError(err.toFile()).start();
    String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    int exit = process.waitFor();
    String text =
        Files.readString(err)
            .lines()
            .filter(each -> !each.startsWith("time="))
            .reduce("", (all, each) -> all + each + "\n");
    return new BinaryRun(exit, out, text);
  }
}
