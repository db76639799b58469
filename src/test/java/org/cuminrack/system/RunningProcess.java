package org.cuminrack.system;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the binary that a test started; its log goes to a file. */
final class RunningProcess {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(40);

  private final String name;
  private final Path log;
  private final Process process;

  private RunningProcess(String name, Path log, Process process) {
    this.name = name;
    this.log = log;
    this.process = process;
  }

  static RunningProcess start(Path folder, String name, String... arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("cuminrack.binary"));
    command.addAll(Arrays.asList(arguments));
    Path log = Files.createTempFile(folder, name + "-", ".log");
    Process process =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start();
    return new RunningProcess(name, log, process);
  }

  String name() {
    return name;
  }

  /** Waits for the line that says it serves, and returns the value of one of its keys. */
  String awaitStarted(String key) {
    Pattern pattern = Pattern.compile("event=started .*\\b" + key + "=(\\S+)");
    return Conditions.awaitValue(
        name + " to start", START_TIMEOUT, () -> find(pattern), this::text);
  }

  private String find(Pattern pattern) {
    if (!process.isAlive()) {
      throw new AssertionError(name + " ended with " + process.exitValue() + ":\n" + text());
    }
    Matcher matcher = pattern.matcher(text());
    return matcher.find() ? matcher.group(1) : null;
  }

  /** Returns all that it has logged. */
  String text() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new AssertionError("no log of " + name, e);
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Ends it as kill -9 does. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Asks it to stop, as SIGTERM does. */
  void terminate() {
    process.destroy();
  }

  int awaitExit() throws InterruptedException {
    if (!process.waitFor(EXIT_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
      throw new AssertionError(name + " still runs:\n" + text());
    }
    return process.exitValue();
  }

  /** Freezes it, as SIGSTOP does. */
  void freeze() throws Exception {
    signal("STOP");
  }

  /** Lets it go on after {@link #freeze()}. */
  void thaw() throws Exception {
    signal("CONT");
  }

  private void signal(String signal) throws Exception {
    String pid = Long.toString(process.pid());
    int exit = new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    if (exit != 0) {
      throw new AssertionError("kill -" + signal + " of " + name + " ended with " + exit);
    }
  }
}
