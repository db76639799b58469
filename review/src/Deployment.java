import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Three control processes and some gateways on loopback addresses, started with the commands and
 * settings templates of the deploy file. Plays the platform: restarts nothing by itself, and ends
 * all processes at the end.
 */
final class Deployment implements AutoCloseable {
  static final int CONTROLS = 3;
  private static final int MAX_SECONDS = 112;

  private final Path folder;
  private final Path project;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final String network;
  private final int wirePort;
  private final int httpPort;
  private final int controlPort;
  private final int directoryPort;
  private final int frontPort;
  private final int readyPort;
  private final Map<String, Process> processes = new ConcurrentHashMap<>();

  /** Processes that were killed and not started again yet. */
  private final Set<String> ended = ConcurrentHashMap.newKeySet();

  Deployment(String recordFile) throws IOException {
    this.project = Path.of("").toAbsolutePath();
    this.folder = Files.createTempDirectory("cuminrack-review");
    this.record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
    this.network = "127." + (20 + ProcessHandle.current().pid() % 200) + "."
        + (1 + System.nanoTime() / 1000 % 250) + ".";
    wirePort = freePort();
    httpPort = freePort();
    controlPort = freePort();
    directoryPort = freePort();
    frontPort = freePort();
    readyPort = freePort();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    daemon(this::endInTime);
    daemon(this::restartEnded);
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  /** Ends a check that hangs: a case that takes too long could not run. */
  private void endInTime() {
    sleep(MAX_SECONDS * 1000);
    log("the case took too long: exit 2");
    close();
    Runtime.getRuntime().halt(2);
  }

  /** Restarts processes that end by themselves, after a short delay, as the platform does. */
  private void restartEnded() {
    while (true) {
      sleep(500);
      for (Map.Entry<String, Process> entry : List.copyOf(processes.entrySet())) {
        if (!entry.getValue().isAlive() && !ended.contains(entry.getKey())) {
          log(entry.getKey() + " ended by itself with " + entry.getValue().exitValue());
          restart(entry.getKey());
        }
      }
    }
  }

  private void restart(String name) {
    int number = Integer.parseInt(name.substring(name.indexOf('-') + 1));
    try {
      if (name.startsWith("control")) {
        startControl(number, false);
      } else {
        startGateway(number);
      }
    } catch (IOException e) {
      log("cannot restart " + name + ": " + e);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** Writes a line to the record, with the milliseconds since the start. */
  synchronized void log(String text) {
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    record.println(String.format("%7d ms  %s", millis, text));
  }

  String controlAddress(int i) {
    return network + (1 + i) + ":" + controlPort;
  }

  String directoryAddress(int i) {
    return network + (1 + i) + ":" + directoryPort;
  }

  String frontAddress(int i) {
    return network + (11 + i) + ":" + frontPort;
  }

  String readyAddress(int i) {
    return network + (11 + i) + ":" + readyPort;
  }

  /** An address for a stand-in server. */
  String serverIp(int i) {
    return network + (101 + i);
  }

  void startControl(int i, boolean bootstrap) throws IOException {
    String ip = network + (1 + i);
    Path data = Files.createDirectories(folder.resolve("control-" + i));
    String settings =
        "vm: \"" + ip + "\"\nregion: \"local\"\ndata_centre: \"" + zone(i) + "\"\n"
            + "wire_address: \"" + ip + ":" + wirePort + "\"\n"
            + "http_address: \"" + ip + ":" + httpPort + "\"\n"
            + "data_folder: \"" + data + "\"\n"
            + "control_address: \"" + ip + ":" + controlPort + "\"\n"
            + "directory_address: \"" + ip + ":" + directoryPort + "\"\n"
            + "heartbeat_millis: 60\nelection_timeout_millis: 300\n"
            + "may_form: " + bootstrap + "\n" + seeds();
    start("control-" + i, "control", settings);
  }

  void startGateway(int i) throws IOException {
    String ip = network + (11 + i);
    String settings =
        "vm: \"front-" + i + "\"\nregion: \"local\"\ndata_centre: \"" + zone(i) + "\"\n"
            + "wire_address: \"" + ip + ":" + wirePort + "\"\n"
            + "http_address: \"" + ip + ":" + httpPort + "\"\n"
            + "caller_address: \"" + ip + ":" + frontPort + "\"\n"
            + "ready_address: \"" + ip + ":" + readyPort + "\"\n"
            + "retry_slack: 52\n" + seeds();
    start("gateway-" + i, "gateway", settings);
  }

  static String zone(int i) {
    return "local-" + (char) ('a' + i % 3);
  }

  private String seeds() {
    StringBuilder seeds = new StringBuilder("control_seeds:\n");
    for (int i = 0; i < CONTROLS; i++) {
      seeds.append("  - \"").append(network).append(1 + i).append(':').append(controlPort)
          .append("\"\n");
    }
    return seeds.toString();
  }

  private void start(String name, String role, String settings) throws IOException {
    Path file = folder.resolve(name + ".yaml");
    Files.writeString(file, settings);
    List<String> command = new ArrayList<>(List.of("java", "-Xmx160m", "-Xss256k",
        "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:CompileThresholdScaling=4",
        "-XX:SharedArchiveFile=target/cuminrack.jsa", "-jar", "target/cuminrack", role,
        "--settings", file.toString()));
    Process process =
        new ProcessBuilder(command)
            .directory(project.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(name).toFile()))
            .start();
    processes.put(name, process);
    ended.remove(name);
    log("started " + name);
  }

  Path logFile(String name) {
    return folder.resolve(name + ".log");
  }

  Path folder() {
    return folder;
  }

  Process process(String name) {
    return processes.get(name);
  }

  /** Kills a process with SIGKILL. */
  void kill(String name) throws InterruptedException {
    ended.add(name);
    processes.get(name).destroyForcibly().waitFor();
    log("killed " + name);
  }

  /** Starts all processes. */
  void startAll(int gateways) throws Exception {
    for (int i = 0; i < CONTROLS; i++) {
      startControl(i, true);
    }
    for (int i = 0; i < gateways; i++) {
      startGateway(i);
    }
  }

  /** Sends an operator's call as the pages say: to each node in turn, until a clear answer. */
  Http.Response operator(String method, String path, byte[] body, long withinMillis)
      throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis);
    Http.Response last = null;
    for (int i = 0; System.nanoTime() < endNanos; i++) {
      try {
        last = follow(controlAddress(i % CONTROLS), method, path, body);
        if (last.status() < 500 && last.status() != 307 && last.status() != 408
            && last.status() != 429) {
          return last;
        }
      } catch (IOException e) {
        last = null;
      }
      Thread.sleep(50);
    }
    return last;
  }

  private Http.Response follow(String address, String method, String path, byte[] body)
      throws IOException {
    int timeout = 1000 + body.length / 1000;
    Http.Response response = Http.call(address, method, path, body, timeout, "Connection: close",
        "Content-Type: application/json");
    for (int i = 0; i < 2 && response.status() == 307; i++) {
      String location = response.headers().get("location").substring("http://".length());
      int slash = location.indexOf('/');
      response = Http.call(location.substring(0, slash), method, location.substring(slash), body,
          timeout, "Connection: close", "Content-Type: application/json");
    }
    return response;
  }

  /** Sends a manifest until it is acknowledged; throws if it is not. */
  void putManifest(String manifest, long withinMillis) throws Exception {
    Http.Response response =
        operator("POST", "/cuminrack/config/replace", manifest.getBytes(StandardCharsets.UTF_8),
            withinMillis);
    if (response == null || response.status() != 200) {
      throw new IllegalStateException("manifest not acknowledged: "
          + (response == null ? "no answer" : response.status() + " " + response.text()));
    }
  }

  /** Sends SIGTERM now, and SIGKILL after the grace time; does not wait. */
  void stop(String name, int graceMillis) {
    ended.add(name);
    Process process = processes.get(name);
    process.destroy();
    log("SIGTERM to " + name);
    daemon(
        () -> {
          sleep(graceMillis);
          log(name + (process.isAlive() ? " is killed after the grace time" : " has ended"));
          process.destroyForcibly();
        });
  }

  /** Kills all control processes at the same moment and starts them again. */
  void restartCore() throws Exception {
    for (int i = 0; i < CONTROLS; i++) {
      ended.add("control-" + i);
      processes.get("control-" + i).destroyForcibly();
    }
    for (int i = 0; i < CONTROLS; i++) {
      kill("control-" + i);
    }
    for (int i = 0; i < CONTROLS; i++) {
      startControl(i, false);
    }
  }

  /** Waits until the gateways say that they are ready. */
  void awaitReady(int gateways, long withinMillis) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis);
    for (int i = 0; i < gateways; i++) {
      while (!isReady(i)) {
        if (System.nanoTime() > endNanos) {
          throw new IllegalStateException("gateway " + i + " is not ready");
        }
        Thread.sleep(50);
      }
    }
  }

  boolean isReady(int i) {
    try {
      return Http.call(readyAddress(i), "GET", "/cuminrack/ready", new byte[0], 1000,
          "Connection: close").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public synchronized void close() {
    ended.addAll(processes.keySet());
    processes.values().forEach(Process::destroyForcibly);
    processes.values().forEach(
        process -> {
          try {
            process.waitFor(5, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // The folder was deleted before.
    }
  }
}
