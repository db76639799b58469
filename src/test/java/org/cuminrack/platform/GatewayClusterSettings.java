package org.cuminrack.platform;

import java.nio.file.Path;
import java.util.List;
import org.cuminrack.system.FreePorts;

/** The settings files of the processes of a {@link GatewayCluster}. */
final class GatewayClusterSettings {
  private final Path folder;
  private final List<String> controlHosts;
  private final int controlWirePort = FreePorts.port();
  private final int controlDumpPort = FreePorts.port();
  private final int controlPort = FreePorts.port();
  private final int directoryPort = FreePorts.port();

  GatewayClusterSettings(Path folder, List<String> controlHosts) {
    this.folder = folder;
    this.controlHosts = List.copyOf(controlHosts);
  }

  /** Returns the port of the dump, the same on all control hosts. */
  int controlDumpPort() {
    return controlDumpPort;
  }

  /** Returns the port for operators and upstreams, the same on all control hosts. */
  int controlPort() {
    return controlPort;
  }

  String control(String host) {
    return """
        vm: "%1$s"
        region: "local"
        data_centre: "dc-a"
        wire_address: "%1$s:%2$d"
        http_address: "%1$s:%3$d"
        data_folder: "%4$s"
        control_address: "%1$s:%5$d"
        directory_address: "%1$s:%6$d"
        heartbeat_millis: 60
        election_timeout_millis: 300
        %7$s"""
        .formatted(
            host,
            controlWirePort,
            controlDumpPort,
            folder.resolve("data-" + host),
            controlPort,
            directoryPort,
            seeds());
  }

  String gateway(String name, int callerPort, int dumpPort) {
    return """
        vm: "%s"
        region: "local"
        data_centre: "dc-a"
        wire_address: "127.0.0.1:%d"
        http_address: "127.0.0.1:%d"
        caller_address: "127.0.0.1:%d"
        ready_address: "127.0.0.1:%d"
        control_wire_port: %d
        retry_slack: 1000
        %s"""
        .formatted(
            name,
            FreePorts.port(),
            dumpPort,
            callerPort,
            FreePorts.port(),
            controlWirePort,
            seeds());
  }

  private String seeds() {
    StringBuilder seeds = new StringBuilder("control_seeds:\n");
    controlHosts.forEach(
        host -> seeds.append("  - \"").append(host).append(':').append(controlPort).append("\"\n"));
    return seeds.toString();
  }
}
