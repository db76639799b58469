package org.cuminrack.platform;

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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cuminrack.process.ControlProcess;
import org.cuminrack.process.GatewayProcess;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.system.Conditions;
import org.cuminrack.system.FreePorts;
import org.cuminrack.time.Clock;

/**
 * A control process and a gateway on loopback, with the calls of the platform's callers, upstreams
 * and operators.
 */
final class PlatformFixture implements AutoCloseable {
  /** The authorization header with the only valid key. */
  static final String KEY = "Authorization: Bearer key-1";

  /** A routing document with three routes; the format argument is its version. */
  static final String DOCUMENT =
      """
      {"version":%d,"routes":[
       {"name":"read","host":"shop.example","path-prefix":"/read/","kind":"safe","timeout-ms":1000,
        "target-latency-ms":200,"priority":2,"service":"shop","max-attempts":2,"public":false},
       {"name":"order","host":"shop.example","path-prefix":"/order/","kind":"unsafe",
        "timeout-ms":1000,"target-latency-ms":200,"priority":2,"service":"shop","max-attempts":1,
        "public":false},
       {"name":"plan","host":"shop.example","path-prefix":"/plan/","kind":"streaming",
        "timeout-ms":20000,"target-latency-ms":1800,"target-gap-ms":180,"priority":1,
        "service":"llm","max-attempts":1,"public":false}],
       "services":[{"name":"shop","health-path":"/health","max-conns":96},
        {"name":"llm","health-path":"/health","max-conns":222,"engine":{"slots":24,
         "kv-capacity-tokens":34000,"stride":4,"backups":true,"moves":true}}],
       "tenants":[{"name":"org-1","api-keys":["key-1"],"priority":1}]}""";

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(TIMEOUT).version(HttpClient.Version.HTTP_1_1).build();
  private final Deque<AutoCloseable> closeables = new ArrayDeque<>();
  private final int controlPort = FreePorts.port();
  private final int directoryPort = FreePorts.port();
  private final int callerPort = FreePorts.port();
  private final int readyPort = FreePorts.port();
  private final int dumpPort = FreePorts.port();
  private final GatewayProcess gatewayProcess;
  private final AtomicBoolean gatewayStopping = new AtomicBoolean();

  private PlatformFixture(Path folder, Duration stopTimeout) throws IOException {
    int wirePort = FreePorts.port();
    Path control =
        Files.writeString(
            folder.resolve("control.yaml"),
            """
            vm: "127.0.0.1"
            region: "local"
            data_centre: "dc-a"
            wire_address: "127.0.0.1:%d"
            http_address: "127.0.0.1:%d"
            data_folder: "%s"
            control_address: "127.0.0.1:%d"
            directory_address: "127.0.0.1:%d"
            control_seeds: ["127.0.0.1:%d"]
            """
                .formatted(
                    wirePort,
                    FreePorts.port(),
                    folder.resolve("data"),
                    controlPort,
                    directoryPort,
                    controlPort));
    Path gateway =
        Files.writeString(
            folder.resolve("gateway.yaml"),
            """
            vm: "gateway-1"
            region: "local"
            data_centre: "dc-a"
            wire_address: "127.0.0.1:%d"
            http_address: "127.0.0.1:%d"
            caller_address: "127.0.0.1:%d"
            ready_address: "127.0.0.1:%d"
            stop_timeout_millis: %d
            control_wire_port: %d
            control_seeds: ["127.0.0.1:%d"]
            """
                .formatted(
                    FreePorts.port(),
                    dumpPort,
                    callerPort,
                    readyPort,
                    stopTimeout.toMillis(),
                    wirePort,
                    controlPort));
    ControlProcess controlProcess =
        new ControlProcess(SettingsFile.control(control).get(), Clock.system());
    controlProcess.start();
    closeables.push(controlProcess::stop);
    gatewayProcess = new GatewayProcess(SettingsFile.gateway(gateway).get(), Clock.system());
    gatewayProcess.start();
    closeables.push(this::stopGateway);
  }

  /**
   * Starts both processes, stores version 3 of the document and waits until the gateway is ready.
   */
  static PlatformFixture start(Path folder) throws IOException {
    return start(folder, Duration.ofMillis(100));
  }

  /** Starts both processes likewise, the gateway with this limit on its planned stop. */
  static PlatformFixture start(Path folder, Duration stopTimeout) throws IOException {
    PlatformFixture platform = new PlatformFixture(folder, stopTimeout);
    platform.callUntilAcknowledged("POST", "/config/replace", DOCUMENT.formatted(3));
    await(
        "the gateway to be ready",
        () -> platform.statusOf(platform.readyPort, "/cuminrack/ready") == 200);
    return platform;
  }

  /** Begins the planned stop of the gateway; returns once it is not ready any more. */
  CompletableFuture<Void> beginStopOfGateway() {
    CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stopGateway);
    await(
        "the gateway not to be ready any more",
        () -> statusOf(readyPort, "/cuminrack/ready") != 200);
    return stopped;
  }

  private void stopGateway() {
    if (gatewayStopping.compareAndSet(false, true)) {
      gatewayProcess.stop();
    }
  }

  FakeUpstream startUpstream() throws IOException {
    FakeUpstream upstream = new FakeUpstream();
    closeables.push(upstream);
    return upstream;
  }

  HttpResponse<String> callAsOperator(String method, String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + controlPort + "/cuminrack" + path))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Repeats an operator's call until it is acknowledged. */
  void callUntilAcknowledged(String method, String path, String body) {
    await(
        path + " to be acknowledged", () -> callAsOperator(method, path, body).statusCode() == 200);
  }

  /** Repeats an upstream's heartbeat until it is acknowledged. */
  void announce(
      String id, String service, FakeUpstream upstream, String zone, String state, int seq) {
    announce(id, service, upstream.address(), zone, state, seq);
  }

  /** Repeats the heartbeat of an upstream at an address until it is acknowledged. */
  void announce(String id, String service, String address, String zone, String state, int seq) {
    String report =
        """
        {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":6,"state":"%s",
         "cold-left-ms":0,"call-seq":%d,"born":1786843519001}"""
            .formatted(service, address, zone, state, seq);
    callUntilAcknowledged("POST", "/instances/" + id + "/heartbeat", report);
  }

  /** Repeats the first heartbeat of an upstream with a version until it is acknowledged. */
  void announceVersion(String id, String service, String address, String version) {
    String report =
        """
        {"service":"%s","address":"%s","zone":"dc-a","version":"%s","slots":6,"state":"ready",
         "cold-left-ms":0,"call-seq":1,"born":1786843519001}"""
            .formatted(service, address, version);
    callUntilAcknowledged("POST", "/instances/" + id + "/heartbeat", report);
  }

  int statusOf(int port, String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(TIMEOUT)
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
  }

  String lookUpGateways() throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + directoryPort + "/cuminrack/resolve?name=x"))
            .timeout(TIMEOUT)
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  /** Returns the gateway's state dump. */
  String dump() throws Exception {
    return getFromGateway("/dump");
  }

  /** Returns the gateway's metrics. */
  String metrics() throws Exception {
    return getFromGateway("/metrics");
  }

  private String getFromGateway(String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + dumpPort + path))
            .timeout(TIMEOUT)
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  String callerAddress() {
    return "127.0.0.1:" + callerPort;
  }

  /** Sends a caller's request and returns the raw response up to the end of the connection. */
  String call(String id, String method, String path, String... headers) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
      socket.setSoTimeout((int) TIMEOUT.toMillis());
      StringBuilder head = new StringBuilder();
      head.append(method).append(' ').append(path).append(" HTTP/1.1\r\n");
      head.append("Host: shop.example\r\nConnection: close\r\nContent-Length: 0\r\n");
      head.append("Attempt-Id: ").append(id).append("\r\n");
      for (String header : headers) {
        head.append(header).append("\r\n");
      }
      socket.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** Waits until a condition holds. */
  static void await(String what, Condition condition) {
    Conditions.await(what, TIMEOUT, () -> holds(what, condition));
  }

  private static boolean holds(String what, Condition condition) {
    try {
      return condition.holds();
    } catch (Exception e) {
      throw new AssertionError("while waiting for " + what, e);
    }
  }

  /** A condition that a test waits for. */
  interface Condition {
    boolean holds() throws Exception;
  }

  @Override
  public void close() throws Exception {
    while (!closeables.isEmpty()) {
      closeables.pop().close();
    }
  }
}
