package org.cuminrack.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.process.ControlProcess;
import org.cuminrack.process.GatewayProcess;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.time.Clock;

/**
 * Starts a control and a gateway process on loopback and stops them. A class-data archive is
 * recorded from it, so that real processes are back sooner after a kill.
 */
final class RehearseCommand extends DescribedCommand {
  private static final Duration RUN_TIME = Duration.ofSeconds(3);
  private static final int PORTS = 9;

  RehearseCommand() {
    super(
        "rehearse", "starts and stops a control and a gateway on loopback, to load their classes");
  }

  @Override
  public void describeArguments(Subparser parser) {
    parser.addArgument("--folder").required(true).metavar("FOLDER").help("an empty folder to use");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    Path folder = Path.of(arguments.getString("folder"));
    try {
      return rehearse(folder);
    } catch (IOException e) {
      System.err.println("rehearse: " + folder + ": " + e.getMessage());
      return ExitCode.FAILED;
    }
  }

  private static ExitCode rehearse(Path folder) throws IOException {
    Files.createDirectories(folder);
    List<Integer> ports = freePorts();
    Path controlFile = folder.resolve("control.yaml");
    Path gatewayFile = folder.resolve("gateway.yaml");
    Files.writeString(controlFile, controlSettings(folder, ports));
    Files.writeString(gatewayFile, gatewaySettings(ports));
    ControlProcess control =
        new ControlProcess(SettingsFile.control(controlFile).get(), Clock.system());
    GatewayProcess gateway =
        new GatewayProcess(SettingsFile.gateway(gatewayFile).get(), Clock.system());
    control.start();
    gateway.start();
    pause();
    gateway.stop();
    control.stop();
    return ExitCode.DONE;
  }

  private static void pause() {
    try {
      Thread.sleep(RUN_TIME.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static List<Integer> freePorts() throws IOException {
    List<ServerSocket> held = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < PORTS; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      held.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket each : held) {
      each.close();
    }
    return ports;
  }

  private static String controlSettings(Path folder, List<Integer> ports) {
    return """
        vm: "127.0.0.1"
        region: "local"
        data_centre: "local-a"
        wire_address: "127.0.0.1:%d"
        http_address: "127.0.0.1:%d"
        data_folder: "%s"
        control_address: "127.0.0.1:%d"
        directory_address: "127.0.0.1:%d"
        control_seeds:
          - "127.0.0.1:%d"
        """
        .formatted(
            ports.get(0),
            ports.get(1),
            folder.resolve("data"),
            ports.get(2),
            ports.get(3),
            ports.get(2));
  }

  /** The gateway's wire port differs here from control's, so that both fit one address. */
  private static String gatewaySettings(List<Integer> ports) {
    return """
        vm: "gateway-1"
        region: "local"
        data_centre: "local-a"
        wire_address: "127.0.0.1:%d"
        http_address: "127.0.0.1:%d"
        caller_address: "127.0.0.1:%d"
        ready_address: "127.0.0.1:%d"
        control_wire_port: %d
        stop_timeout_millis: 100
        control_seeds:
          - "127.0.0.1:%d"
        """
        .formatted(
            ports.get(4), ports.get(5), ports.get(6), ports.get(7), ports.get(0), ports.get(2));
  }
}
