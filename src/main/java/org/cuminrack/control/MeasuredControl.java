package org.cuminrack.control;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.member.ControlClient;
import org.cuminrack.quorum.QuorumNode;
import org.cuminrack.quorum.QuorumSettings;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireGroup;
import org.cuminrack.wire.WireServer;

/** A control VM in this process with its log on disk, whose CPU time can be measured. */
final class MeasuredControl implements ManagedService {
  static final WireGroup GROUP = new WireGroup("measured", "main");
  private static final String NAME = "control-1";
  private static final int SNAPSHOT_EVERY_ENTRIES = 10_000;

  /** Enough connections to start every thread of the server. */
  private static final int WARM_UP_CONNECTIONS = 8;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final WireClient wire = new WireClient(GROUP);
  private final WireServer server =
      new WireServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), GROUP);
  private final QuorumNode log;
  private final ControlService service;
  private Set<Long> controlThreadIds = Set.of();

  MeasuredControl(Path folder, Clock clock) {
    ControlState state = new ControlState();
    QuorumSettings settings =
        new QuorumSettings(
            NAME,
            Map.of(NAME, "127.0.0.1:1"),
            folder,
            Duration.ofMillis(100),
            Duration.ofMillis(500),
            Duration.ofSeconds(1),
            SNAPSHOT_EVERY_ENTRIES);
    log = new QuorumNode(settings, state, wire, clock, RandomGenerator.getDefault());
    service =
        new ControlService(log, state, LeaseSettings.standard(), RenewalExchange.none(), clock);
    service.register(server);
  }

  @Override
  public void start() {
    wire.start();
    log.start();
    service.start();
    server.start();
    for (int i = 0; i < WARM_UP_CONNECTIONS; i++) {
      openWarmUpConnection();
    }
    controlThreadIds = Arrays.stream(threads.getAllThreadIds()).boxed().collect(Collectors.toSet());
  }

  @Override
  public void stop() {
    server.stop();
    service.stop();
    log.stop();
    wire.stop();
  }

  /** Returns the wire address of this control VM by name. */
  Map<String, String> addresses() {
    return Map.of(NAME, "127.0.0.1:" + server.port());
  }

  /** Returns the CPU time used by the control VM's own threads. */
  long cpuNanos() {
    return controlThreadIds.stream()
        .mapToLong(threads::getThreadCpuTime)
        .filter(nanos -> nanos > 0)
        .sum();
  }

  private void openWarmUpConnection() {
    WireClient client = new WireClient(GROUP);
    client.start();
    ControlClient control = new ControlClient(client, addresses(), Clock.system());
    control.call(Method.IN_FORCE, new byte[0], Duration.ofSeconds(5)).join();
    client.stop();
  }
}
