package org.cuminrack.system;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Control, entry and stand-in processes of one test, all on loopback. */
final class TestCluster implements AutoCloseable {
  private static final List<String> DATA_CENTRES = List.of("dc-a", "dc-b", "dc-c");

  private final Path folder;
  private final Map<String, String> controlWire = new LinkedHashMap<>();
  private final Map<String, String> controlHttp = new LinkedHashMap<>();
  private final Map<String, String> entryHttp = new LinkedHashMap<>();
  private final Map<String, String> upstreamAddresses = new LinkedHashMap<>();
  private final Map<String, String[]> commands = new LinkedHashMap<>();
  private final Map<String, RunningProcess> processes = new LinkedHashMap<>();

  private TestCluster(Path folder) {
    this.folder = folder;
  }

  static TestCluster in(Path folder) throws IOException {
    Files.writeString(folder.resolve("event.key"), "0123456789abcdef0123456789abcdef");
    return new TestCluster(folder);
  }

  TestCluster withControls(int count) throws IOException {
    List<String> addresses = FreePorts.addresses(2 * count);
    for (int i = 1; i <= count; i++) {
      controlWire.put("control-" + i, addresses.get(2 * i - 2));
      controlHttp.put("control-" + i, addresses.get(2 * i - 1));
    }
    for (String name : controlWire.keySet()) {
      command(name, "control", "--settings", settings(name, controlSettings(name)));
    }
    return this;
  }

  TestCluster withEntries(int count) throws IOException {
    return withEntries(count, "");
  }

  /** Adds entries whose settings have more lines. */
  TestCluster withEntries(int count, String moreSettings) throws IOException {
    List<String> addresses = FreePorts.addresses(2 * count);
    for (int i = 1; i <= count; i++) {
      String name = "entry-" + i;
      entryHttp.put(name, addresses.get(2 * i - 1));
      String text = entrySettings(name, addresses.get(2 * i - 2)) + moreSettings;
      command(name, "entry", "--settings", settings(name, text));
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
      command.addAll(List.of("--entries", String.join(",", entryHttp.values())));
      command.addAll(List.of(options));
      commands.put(name, command.toArray(String[]::new));
    }
    return this;
  }

  /** Starts everything and waits until all of it serves. */
  TestCluster start() throws IOException {
    for (String name : commands.keySet()) {
      start(name);
    }
    commands.keySet().forEach(name -> process(name).awaitStarted(startedKey(name)));
    return this;
  }

  /** Starts one process, again if it ended before. */
  RunningProcess start(String name) throws IOException {
    RunningProcess process = RunningProcess.start(folder, name, commands.get(name));
    processes.put(name, process);
    return process;
  }

  /** Starts one process again and waits until it serves. */
  RunningProcess restart(String name) throws IOException {
    RunningProcess process = start(name);
    process.awaitStarted(startedKey(name));
    return process;
  }

  RunningProcess process(String name) {
    return processes.get(name);
  }

  Path dataFolder(String control) {
    return folder.resolve("data-" + control);
  }

  List<String> controls() {
    return List.copyOf(controlHttp.keySet());
  }

  List<String> entries() {
    return List.copyOf(entryHttp.keySet());
  }

  List<String> upstreams() {
    return List.copyOf(upstreamAddresses.keySet());
  }

  List<String> controlAddresses() {
    return List.copyOf(controlHttp.values());
  }

  List<String> entryAddresses() {
    return List.copyOf(entryHttp.values());
  }

  /** Returns the HTTP address of any process. */
  String address(String name) {
    if (controlHttp.containsKey(name)) {
      return controlHttp.get(name);
    }
    return entryHttp.getOrDefault(name, upstreamAddresses.get(name));
  }

  @Override
  public void close() throws Exception {
    for (RunningProcess each : processes.values()) {
      each.kill();
    }
  }

  private void command(String name, String... command) {
    commands.put(name, command);
  }

  private static String startedKey(String name) {
    return name.startsWith("control") || name.startsWith("entry") ? "http" : "address";
  }

  private static String dataCentre(int number) {
    return DATA_CENTRES.get((number - 1) % DATA_CENTRES.size());
  }

  private static String dataCentre(String name) {
    return dataCentre(Integer.parseInt(name.substring(name.lastIndexOf('-') + 1)));
  }

  private String settings(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name + ".yaml"), text).toString();
  }

  private String controlSettings(String name) {
    return nodeSettings(name, controlWire.get(name), controlHttp.get(name))
        + "data_folder: "
        + dataFolder(name)
        + "\n"
        + "voters:\n"
        + addresses(controlWire);
  }

  private String entrySettings(String name, String wireAddress) {
    return nodeSettings(name, wireAddress, entryHttp.get(name))
        + "event_key_file: "
        + folder.resolve("event.key")
        + "\n"
        + "control:\n"
        + addresses(controlWire);
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

  private static String addresses(Map<String, String> byName) {
    StringBuilder text = new StringBuilder();
    byName.forEach((name, address) -> text.append("  " + name + ": " + address + "\n"));
    return text.toString();
  }
}
