package org.cuminrack.quorum;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.cuminrack.quorum.internal.PacketCodec;
import org.cuminrack.storage.Disk;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireGroup;
import org.cuminrack.wire.WireServer;

/** A VM of a test group; it keeps its port when its replica is stopped and restarted. */
final class TestVm {
  private static final WireGroup GROUP = new WireGroup("eu", "main");

  final String name;
  final Path folder;
  private final WireServer server;
  private final WireClient client = new WireClient(GROUP);
  volatile QuorumNode node;
  volatile boolean partitioned;
  private final Predicate<String> isSenderPartitioned;
  TextList list;
  Disk disk = Disk.local();
  int snapshotIntervalEntries = 100;

  /** The part whose failure would have ended the process; empty if none has failed. */
  volatile String failedPart = "";

  TestVm(String name, Path folder, Predicate<String> isSenderPartitioned) {
    this.isSenderPartitioned = isSenderPartitioned;
    this.name = name;
    this.folder = folder;
    this.server =
        new WireServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), GROUP)
            .serve(Method.QUORUM_MESSAGE, this::receive);
    server.start();
    client.start();
  }

  private CompletableFuture<byte[]> receive(byte[] payload) {
    QuorumNode currentNode = node;
    String from = PacketCodec.decode(payload).from().vmName();
    if (currentNode == null || partitioned || isSenderPartitioned.test(from)) {
      return CompletableFuture.failedFuture(new IllegalStateException("VM stopped or partitioned"));
    }
    return currentNode.handler().handle(payload);
  }

  String address() {
    return "127.0.0.1:" + server.port();
  }

  void start(Map<String, String> founders) {
    list = new TextList();
    QuorumSettings settings =
        new QuorumSettings(
            name,
            founders,
            folder,
            Duration.ofMillis(30),
            Duration.ofMillis(150),
            Duration.ofMillis(300),
            snapshotIntervalEntries);
    Random random = new Random(name.hashCode());
    QuorumNode started =
        new QuorumNode(
            settings,
            list,
            client,
            Clock.system(),
            random,
            disk,
            (part, cause) -> failedPart = part);
    started.start();
    node = started;
  }

  void stopNode() {
    QuorumNode stopped = node;
    node = null;
    if (stopped != null) {
      stopped.stop();
    }
  }

  void close() {
    stopNode();
    client.stop();
    server.stop();
  }
}
