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

/** A process of the binary started by a test, with its output in a log file. */
public final class RunningProcess {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(40);

  private final String name;
  private final Path logFile;
  private final Process process;

  private RunningProcess(String name, Path logFile, Process process) {
    this.name = name;
    this.logFile = logFile;
    this.process = process;
  }

  public static RunningProcess start(Path folder, String name, String... arguments)
      throws IOException {
    return start(folder, name, "", arguments);
  }

  /** Starts a process with options for its JVM. */
  static RunningProcess start(Path folder, String name, String javaOptions, String[] arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("cuminrack.binary"));
    command.addAll(Arrays.asList(arguments));
    Path logFile = Files.createTempFile(folder, name + "-", ".log");
    ProcessBuilder builder =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(logFile.toFile());
    builder.environment().put("CUMINRACK_JAVA_OPTS", javaOptions);
    return new RunningProcess(name, logFile, builder.start());
  }

  String name() {
    return name;
  }

  /** Waits for the {@code started} log line and returns the value of one of its keys. */
  public String awaitStarted(String key) {
    Pattern pattern = Pattern.compile("event=started .*\\b" + key + "=(\\S+)");
    return Conditions.awaitValue(
        name + " to start", START_TIMEOUT, () -> findInLog(pattern), this::logText);
  }

  private String findInLog(Pattern pattern) {
    if (!process.isAlive()) {
      throw new AssertionError(
          name + " exited with status " + process.exitValue() + ":\n" + logText());
    }
    Matcher matcher = pattern.matcher(logText());
    return matcher.find() ? matcher.group(1) : null;
  }

  public String logText() {
    try {
      return Files.readString(logFile);
    } catch (IOException e) {
      throw new AssertionError("cannot read the log of " + name, e);
    }
  }

  /** Returns whether this end of a connection on this machine belongs to the process. */
  public boolean owns(int localPort, int remotePort) {
    return TcpTable.isOwnedBy(process.pid(), localPort, remotePort);
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Requests a graceful stop with SIGTERM. */
  void terminate() {
    process.destroy();
  }

  int awaitExit() throws InterruptedException {
    if (!process.waitFor(EXIT_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
      throw new AssertionError(name + " has not exited:\n" + logText());
    }
    return process.exitValue();
  }

  /** Suspends the process with SIGSTOP. */
  public void freeze() throws Exception {
    signal("STOP");
  }

  /** Resumes the process with SIGCONT after {@link #freeze()}. */
  public void thaw() throws Exception {
    signal("CONT");
  }

  /**
   * Makes the kernel refuse every write of the process to a file, or accept them again. What it
   * logs in between is lost.
   */
  void setFileWritesRefused(boolean refused) throws Exception {
    String limit = refused ? "0:unlimited" : "unlimited:unlimited";
    String pid = Long.toString(process.pid());
    int exitCode =
        new ProcessBuilder("prlimit", "--pid", pid, "--fsize=" + limit).start().waitFor();
    if (exitCode != 0) {
      throw new AssertionError("prlimit of " + name + " exited with status " + exitCode);
    }
  }

  private void signal(String signal) throws Exception {
    String pid = Long.toString(process.pid());
    int exitCode = new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    if (exitCode != 0) {
      throw new AssertionError(
          "kill -" + signal + " of " + name + " exited with status " + exitCode);
    }
  }
}
