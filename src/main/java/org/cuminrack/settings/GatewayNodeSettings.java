package org.cuminrack.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import org.cuminrack.fleet.GatewaySize;
import org.cuminrack.yaml.MappingReader;

/**
 * The settings of a gateway process.
 *
 * @param controlSeeds wire addresses of some control VMs, by VM name
 * @param callerAddress the address for callers
 * @param readyAddress the address of the readiness check
 * @param ioThreads I/O threads for requests; one per core of the VM performs best
 * @param stopTimeout the maximum duration of a graceful stop
 * @param retryPercent the retry budget of all gateways together, in percent of requests
 * @param retrySlack the number of retries allowed in addition to that percentage
 * @param announcementTimeout the time without an announcement after which an upstream is avoided
 * @param size what the process may use of its VM
 * @param fairShares whether organisations that wait for a service share it fairly over all gateways
 */
public record GatewayNodeSettings(
    NodeSettings node,
    Map<String, String> controlSeeds,
    InetSocketAddress callerAddress,
    InetSocketAddress readyAddress,
    int ioThreads,
    Duration stopTimeout,
    int retryPercent,
    double retrySlack,
    Duration announcementTimeout,
    GatewaySize size,
    boolean fairShares) {
  private static final int MAX_IO_THREADS = 64;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_CORES = 1024;
  private static final int MAX_LINK_MBPS = 1_000_000;
  private static final int MAX_MEMORY_MB = 100_000_000;
  private static final int MAX_DESCRIPTORS = 100_000_000;
  private static final Duration DEFAULT_STOP_TIMEOUT = Duration.ofMillis(7500);
  private static final int DEFAULT_RETRY_PERCENT = 10;
  private static final double DEFAULT_RETRY_SLACK = 20;
  private static final Duration DEFAULT_ANNOUNCEMENT_TIMEOUT = Duration.ofSeconds(4);

  static GatewayNodeSettings read(MappingReader reader) {
    NodeSettings node = NodeSettings.read(reader);
    return new GatewayNodeSettings(
        node,
        SeedAddresses.byName(
            reader.texts("control_seeds"),
            reader.number("control_wire_port", node.wireAddress().getPort(), 1, MAX_PORT)),
        reader.address("caller_address"),
        reader.address("ready_address"),
        reader.number("io_threads", 1, 1, MAX_IO_THREADS),
        reader.millis("stop_timeout_millis", DEFAULT_STOP_TIMEOUT, 100, 3_600_000),
        reader.number("retry_percent", DEFAULT_RETRY_PERCENT, 0, 100),
        reader.decimal("retry_slack", DEFAULT_RETRY_SLACK, 0, 100_000),
        reader.millis("upstream_silence_millis", DEFAULT_ANNOUNCEMENT_TIMEOUT, 100, 600_000),
        new GatewaySize(
            reader.decimal("cores", 0, 0, MAX_CORES),
            reader.decimal("link_mbps", 0, 0, MAX_LINK_MBPS),
            (int) reader.decimal("memory_mb", 0, 0, MAX_MEMORY_MB),
            (int) reader.decimal("descriptors", 0, 0, MAX_DESCRIPTORS)),
        reader.flag("fair_shares", false));
  }
}
