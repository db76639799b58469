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
import org.cuminrack.process.ControlProcess;
import org.cuminrack.process.GatewayProcess;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.system.FreePorts;
import org.cuminrack.time.Clock;

/** One control VM and one gateway on loopback, with the platform's callers and operator. */
final class PlatformFixture implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final long POLL_MILLIS = 10;

  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(TIMEOUT).version(HttpClient.Version.HTTP_1_1).build();
  private final Deque<AutoCloseable> open = new ArrayDeque<>();
  private final int controlPort = FreePorts.port();
  private final int directoryPort = FreePorts.port();
  private final int callerPort = FreePorts.port();
  private final int readyPort = FreePorts.port();
  private final int dumpPort = FreePorts.port();

  PlatformFixture(Path folder) throws IOException {
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
            control_wire_port: %d
            stop_timeout_millis: 100
            control_seeds: ["127.0.0.1:%d"]
            """
                .formatted(
                    FreePorts.port(), dumpPort, callerPort, readyPort, wirePort, controlPort));
    ControlProcess controlProcess =
        new ControlProcess(SettingsFile.control(control).get(), Clock.system());
    controlProcess.start();
    open.push(controlProcess::stop);
    GatewayProcess gatewayProcess =
        new GatewayProcess(SettingsFile.gateway(gateway).get(), Clock.system());
    gatewayProcess.start();
    open.push(gatewayProcess::stop);
  }

  FakeServer server() throws IOException {
    FakeServer server = new FakeServer();
    open.push(server);
    return server;
  }

  HttpResponse<String> operator(String method, String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + controlPort + "/cuminrack" + path))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Sends an operator's call until it is acknowledged. */
  void acknowledged(String method, String path, String body) {
    await(path + " to be acknowledged", () -> operator(method, path, body).statusCode() == 200);
  }

  /** Announces a server until it is acknowledged. */
  void announce(String id, String service, FakeServer server, String zone, String state, int seq) {
    String report =
        """
        {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":6,"state":"%s",
         "cold-left-ms":0,"call-seq":%d,"born":1786843519001}"""
            .formatted(service, server.address(), zone, state, seq);
    acknowledged("POST", "/instances/" + id + "/heartbeat", report);
  }

  int statusOf(int port, String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(TIMEOUT)
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
  }

  int readyPort() {
    return readyPort;
  }

  String directory() throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + directoryPort + "/cuminrack/resolve?name=x"))
            .timeout(TIMEOUT)
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  /** Returns the gateway's own account of its state. */
  String dump() throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + dumpPort + "/dump"))
            .timeout(TIMEOUT)
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  String callerAddress() {
    return "127.0.0.1:" + callerPort;
  }

  /** Sends a caller's request and returns all that comes until the connection ends. */
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
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (System.nanoTime() < deadline) {
      try {
        if (condition.holds()) {
          return;
        }
        Thread.sleep(POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new AssertionError("interrupted while waiting for " + what, e);
      } catch (Exception e) {
        throw new AssertionError("while waiting for " + what, e);
      }
    }
    throw new AssertionError("waited " + TIMEOUT + " for " + what);
  }

  /** Something that a test waits for. */
  interface Condition {
    boolean holds() throws Exception;
  }

  @Override
  public void close() throws Exception {
    while (!open.isEmpty()) {
      open.pop().close();
    }
  }
}
