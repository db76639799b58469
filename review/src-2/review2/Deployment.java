package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's processes on loopback addresses, started with the commands and the templates of the
 * deploy file. Three control VMs in three data centres; gateways are spread over these.
 */
final class Deployment implements AutoCloseable {
  static final int CONTROL_PORT = 8748;
  static final int DIRECTORY_PORT = 8747;
  static final int CALLER_PORT = 8740;
  static final int READY_PORT = 8749;
  static final int WIRE_PORT = 7200;
  static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

  private final Path folder;
  private final String prefix;
  private final Map<String, String> commands = new HashMap<>();
  private final Map<String, String> templates = new HashMap<>();
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final List<String> control = new ArrayList<>();
  private final List<String> gateways = new ArrayList<>();

  Deployment() throws IOException {
    folder = Files.createTempDirectory("review-2-");
    prefix = freePrefix();
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    for (String role : List.of("gateway", "control")) {
      String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
      commands.put(role, value(section, "run"));
      templates.put(role, Files.readString(Path.of(value(section, "template"))));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Returns the first three numbers of loopback addresses that nothing else listens on. */
  private static String freePrefix() throws IOException {
    long pid = ProcessHandle.current().pid();
    for (int i = 0; i < 250; i++) {
      String candidate = "127." + (60 + (pid + i) % 180) + "." + (1 + (pid * 7 + i) % 250) + ".";
      try (var socket = new java.net.ServerSocket()) {
        socket.bind(new java.net.InetSocketAddress(candidate + "11", 9464));
        return candidate;
      } catch (IOException e) {
        // In use.
      }
    }
    throw new IOException("no free loopback addresses");
  }

  private static String value(String section, String key) {
    Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(section);
    if (!matcher.find()) {
      throw new IllegalStateException("deploy file: no " + key);
    }
    return matcher.group(1);
  }

  String address(int number) {
    return prefix + number;
  }

  List<String> control() {
    return control;
  }

  List<String> gateways() {
    return gateways;
  }

  /** Starts three control VMs for the first time. */
  void startControl() throws IOException {
    for (int i = 0; i < ZONES.size(); i++) {
      control.add(prefix + (11 + 10 * i));
    }
    for (String ip : control) {
      startControl(ip, true);
    }
  }

  void startControl(String ip, boolean bootstrap) throws IOException {
    Path data = Files.createDirectories(folder.resolve("data-" + ip));
    Map<String, Object> fields = new HashMap<>();
    fields.put("ip", ip);
    fields.put("zone", ZONES.get(control.indexOf(ip)));
    fields.put("region", "region");
    fields.put("bootstrap", bootstrap);
    fields.put("data-dir", data);
    fields.put("port-range.0", WIRE_PORT);
    fields.put("listen.control", ip + ":" + CONTROL_PORT);
    fields.put("listen.directory", ip + ":" + DIRECTORY_PORT);
    fields.put("fault-tolerance.machines", 1);
    fields.put("fault-tolerance.zones", 1);
    fields.put("seeds", seeds());
    start("control", ip, fields);
  }

  private List<String> seeds() {
    return control.stream().map(ip -> ip + ":" + CONTROL_PORT).toList();
  }

  /** Starts gateways for the first time. */
  void startGateways(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      gateways.add(prefix + (101 + i));
    }
    for (String ip : gateways) {
      startGateway(ip);
    }
  }

  void startGateway(String ip) throws IOException {
    int number = gateways.indexOf(ip);
    Map<String, Object> fields = new HashMap<>();
    fields.put("node", "front-" + number);
    fields.put("ip", ip);
    fields.put("zone", ZONES.get(number % ZONES.size()));
    fields.put("region", "region");
    fields.put("port-range.0", WIRE_PORT);
    fields.put("listen.front", ip + ":" + CALLER_PORT);
    fields.put("listen.ready", ip + ":" + READY_PORT);
    fields.put("bounds.retry-slack", 52);
    fields.put("limits.cpu-share", 0.75);
    fields.put("limits.link-mbps", 1000.0);
    fields.put("limits.memory-mb", 280);
    fields.put("limits.max-fds", 4100);
    fields.put("seeds", seeds());
    start("gateway", ip, fields);
  }

  private void start(String role, String ip, Map<String, Object> fields) throws IOException {
    Path settings = folder.resolve(role + "-" + ip + ".yaml");
    Files.writeString(settings, Template.render(templates.get(role), fields));
    List<String> words = new ArrayList<>();
    for (String word : commands.get(role).split(" ")) {
      words.add(word.equals("/etc/cuminrack/node.json") ? settings.toString() : word);
    }
    Path log = folder.resolve(role + "-" + ip + ".log");
    ProcessBuilder builder =
        new ProcessBuilder(words)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    synchronized (processes) {
      processes.put(ip, builder.start());
    }
  }

  Process process(String ip) {
    return processes.get(ip);
  }

  /** Sends a signal, such as TERM or STOP. */
  void signal(String ip, String name) throws IOException, InterruptedException {
    long pid = process(ip).pid();
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + pid).inheritIO().start().waitFor();
  }

  void kill(String ip) throws InterruptedException {
    process(ip).destroyForcibly().waitFor();
  }

  /** Kills processes at the same moment. */
  void kill(List<String> ips) throws InterruptedException {
    for (String ip : ips) {
      process(ip).destroyForcibly();
    }
    for (String ip : ips) {
      process(ip).waitFor();
    }
  }

  /** Returns the lines of a process's log that match. */
  List<String> log(String ip, String regex) throws IOException {
    Pattern pattern = Pattern.compile(regex);
    String role = control.contains(ip) ? "control" : "gateway";
    try (Stream<String> lines = Files.lines(folder.resolve(role + "-" + ip + ".log"))) {
      return lines.filter(line -> pattern.matcher(line).find()).toList();
    }
  }

  long residentKb(String ip) {
    try {
      return Files.readAllLines(Path.of("/proc/" + process(ip).pid() + "/status")).stream()
          .filter(line -> line.startsWith("VmRSS:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      return 0;
    }
  }

  long dataBytes(String ip) throws IOException {
    try (Stream<Path> files = Files.walk(folder.resolve("data-" + ip))) {
      return files.filter(Files::isRegularFile).mapToLong(file -> file.toFile().length()).sum();
    }
  }

  @Override
  public void close() {
    synchronized (processes) {
      processes.values().forEach(Process::destroyForcibly);
      processes.values().forEach(Deployment::awaitEnd);
      processes.clear();
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println(folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // Deleted by an earlier call.
    }
  }

  private static void awaitEnd(Process process) {
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
