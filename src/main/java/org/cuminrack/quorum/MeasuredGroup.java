package org.cuminrack.quorum;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireGroup;
import org.cuminrack.wire.WireServer;

/** A group of replicas in one process, connected over loopback and syncing to real files. */
final class MeasuredGroup implements ManagedService {
  private static final WireGroup GROUP = new WireGroup("measured", "quorum");
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);
  private static final Duration ELECTION_TIMEOUT_MIN = Duration.ofMillis(500);
  private static final Duration ELECTION_TIMEOUT_MAX = Duration.ofSeconds(1);
  private static final int SNAPSHOT_INTERVAL_ENTRIES = 10_000;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

  private final Path folder;
  private final int size;
  private final List<ManagedService> services = new ArrayList<>();
  private final Map<String, String> addresses = new TreeMap<>();
  final List<QuorumNode> nodes = new ArrayList<>();

  MeasuredGroup(Path folder, int size) {
    this.folder = folder;
    this.size = size;
  }

  @Override
  public void start() {
    List<QuorumNode[]> nodeSlots = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      QuorumNode[] nodeSlot = new QuorumNode[1];
      nodeSlots.add(nodeSlot);
      addresses.put("vm" + i, startServer(nodeSlot));
    }
    for (int i = 0; i < size; i++) {
      QuorumNode node = createNode("vm" + i, i);
      nodeSlots.get(i)[0] = node;
      nodes.add(node);
    }
    nodes.forEach(QuorumNode::start);
  }

  private String startServer(QuorumNode[] nodeSlot) {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    WireServer server = new WireServer(anyPort, GROUP);
    server.serve(Method.QUORUM_MESSAGE, payload -> nodeSlot[0].handler().handle(payload));
    server.start();
    services.add(server);
    return "127.0.0.1:" + server.port();
  }

  private QuorumNode createNode(String vmName, long seed) {
    WireClient client = new WireClient(GROUP);
    client.start();
    services.add(client);
    QuorumSettings settings =
        new QuorumSettings(
            vmName,
            addresses,
            folder.resolve(vmName),
            HEARTBEAT_INTERVAL,
            ELECTION_TIMEOUT_MIN,
            ELECTION_TIMEOUT_MAX,
            SNAPSHOT_INTERVAL_ENTRIES);
    return new QuorumNode(
        settings, new NoOpStateMachine(), client, Clock.system(), new Random(seed));
  }

  QuorumNode awaitLeader() {
    while (true) {
      for (QuorumNode node : nodes) {
        if (node.isLeader()) {
          return node;
        }
      }
      LockSupport.parkNanos(POLL_INTERVAL.toNanos());
    }
  }

  long packetsSent() {
    return nodes.stream().mapToLong(node -> node.sender().packetsSent()).sum();
  }

  long bytesSent() {
    return nodes.stream().mapToLong(node -> node.sender().bytesSent()).sum();
  }

  @Override
  public void stop() {
    nodes.forEach(QuorumNode::stop);
    services.forEach(ManagedService::stop);
  }

  /** A state machine without state. */
  private static final class NoOpStateMachine implements StateMachine {
    private static final byte[] EMPTY = {};

    @Override
    public byte[] apply(long index, byte[] command) {
      return EMPTY;
    }

    @Override
    public byte[] snapshot() {
      return EMPTY;
    }

    @Override
    public void restore(long index, byte[] snapshot) {}
  }
}
