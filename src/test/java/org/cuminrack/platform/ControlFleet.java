package org.cuminrack.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminrack.system.FreePorts;
import org.cuminrack.system.RunningProcess;

/** The control processes of a site on loopback, started by the deploy file and its template. */
final class ControlFleet implements AutoCloseable {
  private static final Path TEMPLATE = Path.of("deploy/control.yaml");
  private static final int MAX_SEEDS = 3;

  /** The template's port for dumps, which can't be chosen; hence the address is. */
  private static final int DUMP_PORT = 9464;

  private static final Pattern GROUP_EVENT =
      Pattern.compile("event=(replica-|quorum-missing|voters-changed|losses-|disk-|started)");

  private final Path folder;
  private final ControlSite site;
  private final SettingsTemplate template = new SettingsTemplate(Files.readString(TEMPLATE));
  private final int wirePort = FreePorts.port();
  private final int controlPort = FreePorts.port();
  private final int directoryPort = FreePorts.port();

  /** The data centre of each VM, by its address. */
  private final Map<String, Integer> dataCentres = new LinkedHashMap<>();

  private final Map<String, RunningProcess> processes = new LinkedHashMap<>();
  private final List<RunningProcess> started = new ArrayList<>();

  private ControlFleet(Path folder, ControlSite site) throws IOException {
    this.folder = folder;
    this.site = site;
  }

  /** Starts all control VMs with empty disks, for the first time. */
  static ControlFleet start(Path folder, ControlSite site) throws IOException {
    ControlFleet fleet = new ControlFleet(folder, site);
    List<Integer> counts = site.controlVmCounts();
    for (int dataCentre = 0; dataCentre < counts.size(); dataCentre++) {
      for (int number = 1; number <= counts.get(dataCentre); number++) {
        fleet.dataCentres.put(address(dataCentre, number), dataCentre);
      }
    }
    for (String vm : fleet.vms()) {
      fleet.start(vm, true);
    }
    return fleet;
  }

  /** Returns an address that no other test process uses at the same time. */
  private static String address(int dataCentre, int number) {
    long pid = ProcessHandle.current().pid();
    return "127.41.%d.%d".formatted(pid % 256, 10 * (dataCentre + 1) + number);
  }

  /** Returns the operator of this site. */
  RoutingOperator operator() {
    return new RoutingOperator(
        () -> vms().stream().map(this::controlAddress).toList(), this::groupEvents);
  }

  List<String> vms() {
    return List.copyOf(dataCentres.keySet());
  }

  String controlAddress(String vm) {
    return vm + ":" + controlPort;
  }

  /** Returns the VMs that are seeds now: the first of each of the first data centres. */
  List<String> seeds() {
    return dataCentres.values().stream()
        .distinct()
        .map(dataCentre -> vmsOf(dataCentre).get(0))
        .limit(MAX_SEEDS)
        .toList();
  }

  /** Returns the VMs of the data centre that has the most. */
  List<String> largestDataCentre() {
    return dataCentres.values().stream()
        .distinct()
        .map(this::vmsOf)
        .max(Comparator.comparing(List::size))
        .orElseThrow();
  }

  private List<String> vmsOf(int dataCentre) {
    return vms().stream().filter(vm -> dataCentres.get(vm) == dataCentre).toList();
  }

  /** Returns the names of the voters as a VM knows them. */
  List<String> voters(String vm) {
    List<String> voters = new ArrayList<>();
    quorum(vm).path("voters").fieldNames().forEachRemaining(voters::add);
    return voters;
  }

  /** Returns the quorum's part of a VM's dump; an empty object if there is none. */
  JsonNode quorum(String vm) {
    URI uri = URI.create("http://" + vm + ":" + DUMP_PORT + "/dump");
    try (var stream = uri.toURL().openStream()) {
      String dump = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
      return new ObjectMapper().readTree(dump).path("quorum");
    } catch (IOException e) {
      // Not listening.
      return new ObjectMapper().createObjectNode();
    }
  }

  /** Kills processes at the same moment. */
  void kill(Collection<String> vms) {
    vms.parallelStream().forEach(vm -> kill(processes.get(vm)));
  }

  private static void kill(RunningProcess process) {
    try {
      process.kill();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }

  /** Kills all processes at the same moment and starts them again, some without their disks. */
  void restartAllWithoutDisksOf(Collection<String> vmsWithoutDisk) throws IOException {
    kill(vms());
    for (String vm : vmsWithoutDisk) {
      delete(dataFolder(vm));
    }
    restart(vms());
  }

  void restart(Collection<String> vms) throws IOException {
    for (String vm : vms) {
      start(vm, false);
    }
  }

  /** Removes a VM for good, starts an empty one in its data centre and returns its address. */
  String replace(String vm) throws IOException {
    kill(List.of(vm));
    int dataCentre = dataCentres.remove(vm);
    String successor = address(dataCentre, 9);
    dataCentres.put(successor, dataCentre);
    start(successor, false);
    return successor;
  }

  private void start(String vm, boolean isFirstStart) throws IOException {
    Files.createDirectories(dataFolder(vm));
    Map<String, Object> fields =
        Map.ofEntries(
            Map.entry("ip", vm),
            Map.entry("zone", "dc-" + dataCentres.get(vm)),
            Map.entry("region", "local"),
            Map.entry("seeds", seeds().stream().map(this::controlAddress).toList()),
            Map.entry("bootstrap", isFirstStart),
            Map.entry("data-dir", dataFolder(vm)),
            Map.entry("port-range", List.of(wirePort, wirePort)),
            Map.entry(
                "listen",
                Map.of("control", controlAddress(vm), "directory", vm + ":" + directoryPort)),
            Map.entry(
                "fault-tolerance",
                Map.of(
                    "machines", site.vmLosses(), "zones", site.dataCentreLosses(), "regions", 0)));
    Path file = Files.writeString(folder.resolve(vm + ".yaml"), template.render(fields));
    RunningProcess process =
        RunningProcess.start(folder, vm, "control", "--settings", file.toString());
    processes.put(vm, process);
    started.add(process);
  }

  private Path dataFolder(String vm) {
    return folder.resolve("data-" + vm);
  }

  private static void delete(Path folder) throws IOException {
    List<Path> descendantsFirst;
    try (Stream<Path> paths = Files.walk(folder)) {
      descendantsFirst = paths.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path each : descendantsFirst) {
      Files.delete(each);
    }
  }

  /** Returns what the processes have logged of their group, in the order of their starts. */
  String groupEvents() {
    return started.stream().map(ControlFleet::groupEvents).collect(Collectors.joining("\n"));
  }

  private static String groupEvents(RunningProcess process) {
    return process
        .logText()
        .lines()
        .filter(line -> GROUP_EVENT.matcher(line).find())
        .collect(Collectors.joining("\n"));
  }

  @Override
  public void close() {
    processes.values().forEach(ControlFleet::kill);
  }
}
