package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.system.FreePorts;
import org.cuminrack.system.RunningProcess;

/**
 * Three control processes and several gateways of the binary on loopback, and upstreams that crash.
 */
final class GatewayCluster implements AutoCloseable {
  private static final List<String> CONTROL_HOSTS = List.of("127.0.0.1", "127.0.0.2", "127.0.0.3");
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /**
   * Routes with timeouts that a process may exceed only if it does not answer at all: the processes
   * of a cluster share a machine, and a busy one can delay an answer by more than a second.
   */
  private static final String DOCUMENT =
      PlatformFixture.DOCUMENT
          .replace("\"timeout-ms\":1000", "\"timeout-ms\":5000")
          .replace("\"target-latency-ms\":200", "\"target-latency-ms\":1000");

  private static final String HEARTBEAT =
      """
      {"service":"%s","address":"%s","zone":"dc-a","version":"v1","slots":6,"state":"ready",
       "cold-left-ms":0,"call-seq":%d,"born":%d}""";

  private final Path folder;
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(TIMEOUT).version(HttpClient.Version.HTTP_1_1).build();
  private final GatewayClusterSettings settings;
  private final Map<String, RunningProcess> processes = new LinkedHashMap<>();
  private final Map<String, Integer> callerPorts = new LinkedHashMap<>();
  private final Map<String, Integer> dumpPorts = new LinkedHashMap<>();
  private final Map<CrashingUpstream, String> services = new LinkedHashMap<>();
  private int sequence;

  private GatewayCluster(Path folder) {
    this.folder = folder;
    this.settings = new GatewayClusterSettings(folder, CONTROL_HOSTS);
  }

  /** Starts the processes and four upstreams of each service, and waits until all serve. */
  static GatewayCluster start(Path folder, int gatewayCount) throws Exception {
    return start(folder, gatewayCount, 4);
  }

  /** Starts the processes and the upstreams of each service, and waits until all serve. */
  static GatewayCluster start(Path folder, int gatewayCount, int upstreamCount) throws Exception {
    GatewayCluster cluster = new GatewayCluster(folder);
    for (String host : CONTROL_HOSTS) {
      cluster.startControl(host);
    }
    for (int i = 1; i <= gatewayCount; i++) {
      cluster.startGateway("gateway-" + i);
    }
    for (int i = 1; i <= upstreamCount; i++) {
      cluster.addUpstream("shop", "s" + i);
      cluster.addUpstream("llm", "e" + i);
    }
    cluster.callControlUntilOk("/config/replace", DOCUMENT.formatted(3));
    cluster.recover();
    return cluster;
  }

  private void addUpstream(String service, String name) {
    services.put(new CrashingUpstream(name, FreePorts.port()), service);
  }

  List<CrashingUpstream> upstreams(String service) {
    return services.keySet().stream().filter(each -> services.get(each).equals(service)).toList();
  }

  List<String> gateways() {
    return List.copyOf(callerPorts.keySet());
  }

  RunningProcess process(String name) {
    return processes.get(name);
  }

  /** Kills all control processes at once and starts them again with their data. */
  void restartAllControl() throws Exception {
    for (String host : CONTROL_HOSTS) {
      processes.get(host).kill();
    }
    for (String host : CONTROL_HOSTS) {
      startControl(host);
    }
  }

  /** Kills all processes at once and starts them again, control with its data. */
  void restartAll() throws Exception {
    List<RunningProcess> running = List.copyOf(processes.values());
    for (RunningProcess process : running) {
      process.kill();
    }
    for (String host : CONTROL_HOSTS) {
      startControl(host);
    }
    for (String gateway : gateways()) {
      startGateway(gateway);
    }
  }

  /** Kills the control process that leads and waits until another one does. */
  void killLeader() throws Exception {
    String leader =
        CONTROL_HOSTS.stream()
            .filter(this::leads)
            .findFirst()
            .orElseThrow(() -> new AssertionError("expected a control process that leads"));
    processes.get(leader).kill();
    PlatformFixture.await("another leader", () -> CONTROL_HOSTS.stream().anyMatch(this::leads));
  }

  private boolean leads(String host) {
    try {
      return get(host + ":" + settings.controlDumpPort(), "/metrics")
          .contains("cuminrack_quorum_leads 1.0");
    } catch (IOException e) {
      // Not listening.
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }

  void restartGateway(String name) throws Exception {
    processes.get(name).kill();
    startGateway(name);
  }

  /** Announces an upstream until that is acknowledged, as its incarnation with this start. */
  void announce(CrashingUpstream upstream, long startedMillis, int announcement) {
    String heartbeat =
        HEARTBEAT.formatted(
            services.get(upstream), upstream.address(), announcement, startedMillis);
    callControlUntilOk("/instances/" + upstream.id() + "/heartbeat", heartbeat);
  }

  /** Says that an incarnation of an upstream leaves, until that is acknowledged. */
  void leave(CrashingUpstream upstream, long startedMillis) {
    callControlUntilOk(
        "/instances/" + upstream.id() + "/leave", "{\"born\":" + startedMillis + "}");
  }

  /** Waits until a gateway is ready and knows an upstream. */
  void awaitKnown(String gateway, CrashingUpstream upstream) {
    PlatformFixture.await(
        gateway + " to know " + upstream.id(), () -> isReadyAndKnows(gateway, List.of(upstream)));
  }

  /**
   * Waits until the upstreams that have crashed run again, announces all of them and waits until
   * each gateway knows them.
   */
  void recover() throws Exception {
    for (CrashingUpstream upstream : services.keySet()) {
      PlatformFixture.await(upstream.id() + " to run", upstream::isRunning);
      sequence++;
      String heartbeat =
          HEARTBEAT.formatted(
              services.get(upstream),
              upstream.address(),
              sequence,
              1_786_843_519_000L + upstream.startNumber());
      callControlUntilOk("/instances/" + upstream.id() + "/heartbeat", heartbeat);
    }
    for (String gateway : dumpPorts.keySet()) {
      PlatformFixture.await(gateway + " to know all upstreams", () -> knowsAllUpstreams(gateway));
    }
  }

  private boolean knowsAllUpstreams(String gateway) {
    return isReadyAndKnows(gateway, services.keySet());
  }

  private boolean isReadyAndKnows(String gateway, Collection<CrashingUpstream> upstreams) {
    String dump;
    try {
      dump = get("127.0.0.1:" + dumpPorts.get(gateway), "/dump");
    } catch (IOException | InterruptedException e) {
      // Not listening yet.
      return false;
    }
    return dump.matches("(?s).*\"ready\"\\s*:\\s*true.*")
        && upstreams.stream().allMatch(upstream -> dump.contains("\"" + upstream.id() + "\""));
  }

  /** Sends a caller's request and returns the raw response; empty if the connection was lost. */
  String call(String gateway, String id, String method, String path) throws IOException {
    return call(gateway, id, method, path, "");
  }

  /** Sends a caller's generation with the parts of its prompt; see {@link #call}. */
  String callWithPrompt(String gateway, String id, String path, String prompt) throws IOException {
    return call(gateway, id, "POST", path, "Prompt-Prefix: " + prompt + "\n");
  }

  private String call(String gateway, String id, String method, String path, String headers)
      throws IOException {
    try (Socket socket = open(gateway, id, method, path, headers, Duration.ofSeconds(5))) {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** Sends a caller's generation and returns the connection, from which nothing is read yet. */
  Socket openStream(String gateway, String id, String path) throws IOException {
    return open(gateway, id, "POST", path, "", TIMEOUT);
  }

  private Socket open(
      String gateway, String id, String method, String path, String headers, Duration deadline)
      throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPorts.get(gateway));
    socket.setSoTimeout((int) TIMEOUT.toMillis());
    String head =
        """
        %s %s HTTP/1.1
        Host: shop.example
        Connection: close
        Content-Length: 0
        Attempt-Id: %s
        Deadline-Ms: %d
        Token-Counts: 900,400
        %s%s

        """;
    String request =
        head.formatted(method, path, id, deadline.toMillis(), headers, PlatformFixture.KEY)
            .replace("\n", "\r\n");
    socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    return socket;
  }

  /** Returns a gateway's state dump. */
  String dump(String gateway) throws Exception {
    return get("127.0.0.1:" + dumpPorts.get(gateway), "/dump");
  }

  private String get(String address, String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT).build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  /** Sends an operator's or upstream's call to each control process in turn until one accepts. */
  private void callControlUntilOk(String path, String body) {
    PlatformFixture.await(
        path + " to be acknowledged",
        () -> CONTROL_HOSTS.stream().anyMatch(host -> isAcknowledged(host, path, body)));
  }

  private boolean isAcknowledged(String host, String path, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://" + host + ":" + settings.controlPort() + "/cuminrack" + path))
            .timeout(TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
    } catch (IOException e) {
      // Not listening; the next one is asked.
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }

  private void startControl(String host) throws IOException {
    start(host, "control", settings.control(host));
  }

  private void startGateway(String name) throws IOException {
    int callerPort = callerPorts.computeIfAbsent(name, key -> FreePorts.port());
    int dumpPort = dumpPorts.computeIfAbsent(name, key -> FreePorts.port());
    start(name, "gateway", settings.gateway(name, callerPort, dumpPort));
  }

  private void start(String name, String role, String text) throws IOException {
    Path file = Files.writeString(folder.resolve(name + ".yaml"), text);
    processes.put(name, RunningProcess.start(folder, name, role, "--settings", file.toString()));
  }

  /** Fails if any process has ended by itself. */
  void assertAllRunning() {
    processes.forEach(
        (name, process) -> assertWithMessage(name + " runs").that(process.isAlive()).isTrue());
  }

  @Override
  public void close() throws Exception {
    for (RunningProcess process : processes.values()) {
      process.kill();
    }
    for (CrashingUpstream upstream : services.keySet()) {
      upstream.close();
    }
  }
}
