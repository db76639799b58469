package org.cuminrack.system;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The control, entry and stand-in processes of a test, all on loopback. */
final class TestCluster implements AutoCloseable {
  private static final List<String> DATA_CENTRES = List.of("dc-a", "dc-b", "dc-c");

  private final Path folder;
  private final Map<String, String> controlWireAddresses = new LinkedHashMap<>();
  private final Map<String, String> controlHttpAddresses = new LinkedHashMap<>();
  private final Map<String, String> entryHttpAddresses = new LinkedHashMap<>();
  private final Map<String, String> upstreamAddresses = new LinkedHashMap<>();
  private final Map<String, String[]> commands = new LinkedHashMap<>();
  private final Map<String, RunningProcess> processes = new LinkedHashMap<>();

  private String javaOptions = "";

  private TestCluster(Path folder) {
    this.folder = folder;
  }

  static TestCluster in(Path folder) throws IOException {
    Files.writeString(folder.resolve("event.key"), "0123456789abcdef0123456789abcdef");
    return new TestCluster(folder);
  }

  TestCluster withJavaOptions(String options) {
    javaOptions = options;
    return this;
  }

  TestCluster withControlProcesses(int count) throws IOException {
    List<String> addresses = FreePorts.addresses(2 * count);
    for (int i = 1; i <= count; i++) {
      controlWireAddresses.put("control-" + i, addresses.get(2 * i - 2));
      controlHttpAddresses.put("control-" + i, addresses.get(2 * i - 1));
    }
    for (String name : controlWireAddresses.keySet()) {
      addCommand(name, "control", "--settings", writeSettings(name, controlSettings(name)));
    }
    return this;
  }

  TestCluster withEntries(int count) throws IOException {
    return withEntries(count, "");
  }

  /** Adds entries with additional lines in their settings files. */
  TestCluster withEntries(int count, String additionalSettings) throws IOException {
    List<String> addresses = FreePorts.addresses(2 * count);
    for (int i = 1; i <= count; i++) {
      String name = "entry-" + i;
      entryHttpAddresses.put(name, addresses.get(2 * i - 1));
      String text = entrySettings(name, addresses.get(2 * i - 2)) + additionalSettings;
      addCommand(name, "entry", "--settings", writeSettings(name, text));
    }
    return this;
  }

  TestCluster withEngines(int count, String... options) throws IOException {
    return withUpstreams(count, "engine", options);
  }

  TestCluster withShops(int count, String... options) throws IOException {
    return withUpstreams(count, "shop", options);
  }

  private TestCluster withUpstreams(int count, String kind, String... options) throws IOException {
    List<String> addresses = FreePorts.addresses(count);
    for (int i = 1; i <= count; i++) {
      String name = kind + "-" + i;
      upstreamAddresses.put(name, addresses.get(i - 1));
      List<String> command = new ArrayList<>(List.of("stand-in", kind, "--name", name));
      command.addAll(List.of("--data-centre", dataCentre(i)));
      command.addAll(List.of("--listen", addresses.get(i - 1)));
      command.addAll(List.of("--entries", String.join(",", entryHttpAddresses.values())));
      command.addAll(List.of(options));
      commands.put(name, command.toArray(String[]::new));
    }
    return this;
  }

  /** Starts all processes and waits until all have logged that they started. */
  TestCluster start() throws IOException {
    for (String name : commands.keySet()) {
      start(name);
    }
    commands.keySet().forEach(name -> process(name).awaitStarted(addressLogKey(name)));
    return this;
  }

  /** Starts a process, or starts it again after it exited. */
  RunningProcess start(String name) throws IOException {
    RunningProcess process = RunningProcess.start(folder, name, javaOptions, commands.get(name));
    processes.put(name, process);
    return process;
  }

  /** Starts a process again after it exited and waits until it has logged that it started. */
  RunningProcess restart(String name) throws IOException {
    RunningProcess process = start(name);
    process.awaitStarted(addressLogKey(name));
    return process;
  }

  RunningProcess process(String name) {
    return processes.get(name);
  }

  Path dataFolder(String control) {
    return folder.resolve("data-" + control);
  }

  List<String> controlNames() {
    return List.copyOf(controlHttpAddresses.keySet());
  }

  List<String> entryNames() {
    return List.copyOf(entryHttpAddresses.keySet());
  }

  List<String> upstreamNames() {
    return List.copyOf(upstreamAddresses.keySet());
  }

  List<String> controlAddresses() {
    return List.copyOf(controlHttpAddresses.values());
  }

  List<String> entryAddresses() {
    return List.copyOf(entryHttpAddresses.values());
  }

  /** Returns the HTTP address of a process. */
  String address(String name) {
    if (controlHttpAddresses.containsKey(name)) {
      return controlHttpAddresses.get(name);
    }
    return entryHttpAddresses.getOrDefault(name, upstreamAddresses.get(name));
  }

  @Override
  public void close() throws Exception {
    for (RunningProcess each : processes.values()) {
      each.kill();
    }
  }

  private void addCommand(String name, String... command) {
    commands.put(name, command);
  }

  /** Returns the key of the address in the {@code started} log line. */
  private static String addressLogKey(String name) {
    return name.startsWith("control") || name.startsWith("entry") ? "http" : "address";
  }

  private static String dataCentre(int number) {
    return DATA_CENTRES.get((number - 1) % DATA_CENTRES.size());
  }

  private static String dataCentre(String name) {
    return dataCentre(Integer.parseInt(name.substring(name.lastIndexOf('-') + 1)));
  }

  private String writeSettings(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name + ".yaml"), text).toString();
  }

  private String controlSettings(String name) {
    return nodeSettings(name, controlWireAddresses.get(name), controlHttpAddresses.get(name))
        + "data_folder: "
        + dataFolder(name)
        + "\n"
        + "voters:\n"
        + addresses(controlWireAddresses);
  }

  private String entrySettings(String name, String wireAddress) {
    return nodeSettings(name, wireAddress, entryHttpAddresses.get(name))
        + "event_key_file: "
        + folder.resolve("event.key")
        + "\n"
        + "control:\n"
        + addresses(controlWireAddresses);
  }

  private static String nodeSettings(String name, String wire, String http) {
    return """
        vm: %s
        region: eu-1
        data_centre: %s
        wire_address: %s
        http_address: %s
        """
        .formatted(name, dataCentre(name), wire, http);
  }

  private static String addresses(Map<String, String> addressesByName) {
    StringBuilder text = new StringBuilder();
    addressesByName.forEach((name, address) -> text.append("  " + name + ": " + address + "\n"));
    return text.toString();
  }
}
