package org.cuminrack.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.process.ControlProcess;
import org.cuminrack.process.EntryProcess;
import org.cuminrack.settings.ControlSettings;
import org.cuminrack.settings.EntrySettings;
import org.cuminrack.settings.NodeSettings;
import org.cuminrack.standin.EngineOptions;
import org.cuminrack.standin.EngineServer;
import org.cuminrack.standin.ShopOptions;
import org.cuminrack.standin.ShopServer;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.WireGroup;

/** A control process, an entry process, an emulated engine and an emulated shop in one JVM. */
final class DemoCluster implements ManagedService {
  private static final WireGroup GROUP = new WireGroup("demo", "main");
  private static final String DATA_CENTRE = "dc-a";
  private static final String EVENT_KEY = "a key for this demo alone, 32 bytes or more";
  private static final Duration SHORT_ADDRESS_TTL = Duration.ofMillis(100);
  private static final int IO_THREADS = 2;

  private final Path folder;
  private final Deque<ManagedService> started = new ArrayDeque<>();
  private ShopServer shop;
  private ControlProcess control;
  private EntryProcess entry;

  DemoCluster(Path folder) {
    this.folder = folder;
  }

  @Override
  public void start() {
    Clock clock = Clock.system();
    control = startService(new ControlProcess(controlSettings(), clock));
    entry = startService(new EntryProcess(entrySettings(), clock));
    List<String> entries = List.of(entry.httpAddress());
    EngineOptions engine = EngineOptions.of("engine-1", DATA_CENTRE, "meal-planner", entries);
    startService(EngineServer.of(engine.withStartsWarm(true), clock, () -> {}));
    shop =
        startService(
            ShopServer.of(ShopOptions.of("shop-1", DATA_CENTRE, "shop", entries), clock, () -> {}));
  }

  String controlAddress() {
    return control.httpAddress();
  }

  String entryAddress() {
    return entry.httpAddress();
  }

  /** Returns the number of executions by idempotency key. */
  Map<String, Integer> executions() {
    return shop.executions();
  }

  @Override
  public void stop() {
    while (!started.isEmpty()) {
      started.removeFirst().stop();
    }
  }

  private <T extends ManagedService> T startService(T service) {
    service.start();
    started.addFirst(service);
    return service;
  }

  private ControlSettings controlSettings() {
    NodeSettings node = nodeSettings("control-1");
    String wire = "127.0.0.1:" + node.wireAddress().getPort();
    return new ControlSettings(
        node,
        folder.resolve("control-1"),
        Map.of(node.vm(), wire),
        Duration.ofMillis(50),
        Duration.ofMillis(150));
  }

  private EntrySettings entrySettings() {
    return new EntrySettings(
        nodeSettings("entry-1"),
        Map.of("control-1", control.wireAddress()),
        writeKeyFile(),
        SHORT_ADDRESS_TTL,
        IO_THREADS,
        Duration.ofSeconds(1));
  }

  private Path writeKeyFile() {
    try {
      return Files.writeString(folder.resolve("event.key"), EVENT_KEY);
    } catch (IOException e) {
      throw new UncheckedIOException("can't write to the demo's folder", e);
    }
  }

  private static NodeSettings nodeSettings(String vm) {
    return new NodeSettings(vm, GROUP, DATA_CENTRE, freeAddress(), freeAddress());
  }

  private static InetSocketAddress freeAddress() {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
      return new InetSocketAddress(loopback, socket.getLocalPort());
    } catch (IOException e) {
      throw new UncheckedIOException("no free port", e);
    }
  }
}
