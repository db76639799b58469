package org.cuminrack.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.cuminrack.yaml.MappingReader;

/**
 * The settings of an entry process.
 *
 * @param control wire addresses of the control VMs, by VM name
 * @param eventKeyFile the file with the key that authenticates event ids; equal on all entries
 * @param addressTtl how long callers may cache the entries' addresses
 * @param ioThreads I/O threads for requests; one per core of the VM performs best
 * @param stopTimeout how long a graceful stop waits for requests in progress
 */
public record EntrySettings(
    NodeSettings node,
    Map<String, String> control,
    Path eventKeyFile,
    Duration addressTtl,
    int ioThreads,
    Duration stopTimeout) {
  private static final Duration DEFAULT_ADDRESS_TTL = Duration.ofSeconds(30);
  private static final int DEFAULT_IO_THREADS = 4;
  private static final int MAX_IO_THREADS = 64;
  private static final Duration DEFAULT_STOP_TIMEOUT = Duration.ofMinutes(10);

  static EntrySettings read(MappingReader reader) {
    return new EntrySettings(
        NodeSettings.read(reader),
        reader.addresses("control"),
        reader.file("event_key_file"),
        reader.millis("address_ttl_millis", DEFAULT_ADDRESS_TTL, 100, 600_000),
        reader.number("io_threads", DEFAULT_IO_THREADS, 1, MAX_IO_THREADS),
        reader.millis("stop_timeout_millis", DEFAULT_STOP_TIMEOUT, 100, 3_600_000));
  }
}
