package org.cuminrack.cli;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.cuminrack.http.HttpCall;
import org.cuminrack.http.HttpClient;
import org.cuminrack.http.HttpResponse;
import org.cuminrack.http.HttpServer;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.platform.RehearsalMessages;
import org.cuminrack.platform.RehearsalUpstream;
import org.cuminrack.process.ControlProcess;
import org.cuminrack.process.GatewayProcess;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.time.Clock;

/**
 * Starts three control processes, a gateway and upstreams on loopback and sends requests of each
 * kind until all are answered. Used to record the class-data sharing archive.
 */
final class Rehearsal {
  private static final int CONTROL_PROCESSES = 3;
  private static final int REQUESTS_PER_KIND = 20;
  private static final long MAX_BODY_BYTES = 1 << 20;
  private static final Duration STEP_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private final Path folder;
  private final List<String> hosts = randomHosts();
  private final Map<Port, Integer> ports = freePorts(hosts.get(0));
  private final Clock clock = Clock.system();

  Rehearsal(Path folder) throws IOException {
    this.folder = folder;
  }

  /**
   * Starts the processes, sends the requests and stops the processes. A second run in the same
   * folder recovers the state of the first.
   *
   * @param runNumber used as routing version and heartbeat sequence; must increase with each run
   */
  void run(long runNumber) throws IOException {
    List<ManagedService> started = new ArrayList<>();
    try {
      HttpClient client = start(started, new HttpClient());
      HttpServer shop = start(started, newUpstream(Port.SHOP));
      HttpServer engine = start(started, newUpstream(Port.ENGINE));
      for (String host : hosts) {
        start(
            started,
            new ControlProcess(SettingsFile.control(writeControlSettings(host)).get(), clock));
      }
      start(started, new GatewayProcess(SettingsFile.gateway(writeGatewaySettings()).get(), clock));
      sendHeartbeats(client, RehearsalMessages.PLAIN_SERVICE, shop, runNumber);
      sendHeartbeats(client, RehearsalMessages.ENGINE_SERVICE, engine, runNumber);
      putRouting(client, runNumber);
      sendRequests(client);
    } finally {
      for (int i = started.size() - 1; i >= 0; i--) {
        started.get(i).stop();
      }
    }
  }

  private static <T extends ManagedService> T start(List<ManagedService> started, T service) {
    service.start();
    started.add(service);
    return service;
  }

  /**
   * Returns random loopback addresses, so that concurrent rehearsals on one machine are unlikely to
   * collide.
   */
  private static List<String> randomHosts() {
    RandomGenerator random = RandomGenerator.getDefault();
    String network = "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255) + ".";
    return IntStream.rangeClosed(1, CONTROL_PROCESSES).mapToObj(each -> network + each).toList();
  }

  private HttpServer newUpstream(Port purpose) {
    return new HttpServer(
        InetSocketAddress.createUnresolved(hosts.get(0), port(purpose)),
        new RehearsalUpstream(),
        MAX_BODY_BYTES);
  }

  private void sendHeartbeats(HttpClient client, String service, HttpServer upstream, long sequence)
      throws IOException {
    for (String host : hosts) {
      awaitOk(
          client,
          RehearsalMessages.announcement(
              host + ":" + port(Port.CONTROL_API),
              service,
              hosts.get(0) + ":" + upstream.port(),
              sequence));
    }
  }

  /** Sends the routing to each control process in turn until the leader accepts it. */
  private void putRouting(HttpClient client, long version) throws IOException {
    long deadlineNanos = clock.nanoTime() + STEP_TIMEOUT.toNanos();
    while (clock.nanoTime() < deadlineNanos) {
      for (String host : hosts) {
        if (isOk(client, RehearsalMessages.routing(host + ":" + port(Port.CONTROL_API), version))) {
          return;
        }
      }
      pause();
    }
    throw new IOException("no control process accepted the routing within " + STEP_TIMEOUT);
  }

  private void sendRequests(HttpClient client) throws IOException {
    awaitOk(client, RehearsalMessages.readiness(hostAndPort(Port.READY)));
    awaitOk(client, RehearsalMessages.lookup(hostAndPort(Port.DIRECTORY)));
    String callerAddress = hostAndPort(Port.CALLERS);
    for (int i = 0; i < REQUESTS_PER_KIND; i++) {
      awaitOk(client, RehearsalMessages.read(callerAddress, i));
      awaitOk(client, RehearsalMessages.order(callerAddress, i));
      awaitOk(client, RehearsalMessages.generation(callerAddress, i));
    }
  }

  private void awaitOk(HttpClient client, HttpCall call) throws IOException {
    long deadlineNanos = clock.nanoTime() + STEP_TIMEOUT.toNanos();
    while (!isOk(client, call)) {
      if (clock.nanoTime() >= deadlineNanos) {
        throw new IOException(call.path() + ": expected 200 within " + STEP_TIMEOUT);
      }
      pause();
    }
  }

  private static boolean isOk(HttpClient client, HttpCall call) {
    return client.send(call).join().map(HttpResponse::status).getOrElse(0) == 200;
  }

  private static void pause() throws InterruptedIOException {
    try {
      Thread.sleep(POLL_INTERVAL.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException("interrupted");
    }
  }

  private String hostAndPort(Port purpose) {
    return hosts.get(0) + ":" + port(purpose);
  }

  private int port(Port purpose) {
    return ports.get(purpose);
  }

  /** Reserves all ports at the same time, so that they are distinct. */
  private static Map<Port, Integer> freePorts(String host) throws IOException {
    Map<Port, ServerSocket> sockets = new EnumMap<>(Port.class);
    for (Port purpose : Port.values()) {
      sockets.put(purpose, new ServerSocket(0, 1, InetAddress.getByName(host)));
    }
    Map<Port, Integer> ports = new EnumMap<>(Port.class);
    for (Map.Entry<Port, ServerSocket> each : sockets.entrySet()) {
      ports.put(each.getKey(), each.getValue().getLocalPort());
      each.getValue().close();
    }
    return ports;
  }

  private String controlSeedsYaml(int port) {
    return IntStream.range(0, hosts.size())
        .mapToObj(i -> "  - \"" + hosts.get(i) + ":" + port + "\"\n")
        .reduce("control_seeds:\n", String::concat);
  }

  private Path writeControlSettings(String host) throws IOException {
    return Files.writeString(
        folder.resolve("control-" + host + ".yaml"),
        """
        vm: "%1$s"
        region: "local"
        data_centre: "local-a"
        wire_address: "%1$s:%2$d"
        http_address: "%1$s:%3$d"
        data_folder: "%4$s"
        control_address: "%1$s:%5$d"
        directory_address: "%1$s:%6$d"
        %7$s"""
            .formatted(
                host,
                port(Port.CONTROL_WIRE),
                port(Port.CONTROL_HTTP),
                folder.resolve("data-" + host),
                port(Port.CONTROL_API),
                port(Port.DIRECTORY),
                controlSeedsYaml(port(Port.CONTROL_API))));
  }

  /**
   * The gateway's wire port differs from that of the control processes, since the gateway shares a
   * host with one of them.
   */
  private Path writeGatewaySettings() throws IOException {
    return Files.writeString(
        folder.resolve("gateway.yaml"),
        """
        vm: "gateway-1"
        region: "local"
        data_centre: "local-a"
        wire_address: "%s"
        http_address: "%s"
        caller_address: "%s"
        ready_address: "%s"
        control_wire_port: %d
        stop_timeout_millis: 100
        %s"""
            .formatted(
                hostAndPort(Port.GATEWAY_WIRE),
                hostAndPort(Port.GATEWAY_HTTP),
                hostAndPort(Port.CALLERS),
                hostAndPort(Port.READY),
                port(Port.CONTROL_WIRE),
                controlSeedsYaml(port(Port.CONTROL_API))));
  }

  /** The ports by purpose; all control processes use the same ports, each on its own host. */
  private enum Port {
    CONTROL_WIRE,
    CONTROL_HTTP,

    /** Routing updates and upstream heartbeats. */
    CONTROL_API,
    DIRECTORY,
    GATEWAY_WIRE,
    GATEWAY_HTTP,
    CALLERS,
    READY,
    SHOP,
    ENGINE
  }
}
