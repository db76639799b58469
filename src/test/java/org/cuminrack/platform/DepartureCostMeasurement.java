package org.cuminrack.platform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Measures what the departures of all upstreams of the target cost three control processes: the
 * time to the acknowledgement, and the bytes of their logs. Run by hand, see docs/CAPACITY.md.
 */
@Tag("process")
class DepartureCostMeasurement {
  private static final int UPSTREAMS = 5_900;
  private static final int IN_TURN = 500;
  private static final int SENDERS = 32;
  private static final Duration READY_TIME = Duration.ofSeconds(20);

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  @TempDir Path folder;

  @Test
  void measureDepartures() throws Exception {
    try (ControlFleet fleet = ControlFleet.start(folder, ControlSite.STANDARD)) {
      fleet.operator().put(3, READY_TIME);
      List<String> vms = fleet.vms();
      List<Long> inTurn = new ArrayList<>();
      for (int i = 0; i < IN_TURN; i++) {
        inTurn.add(leave(fleet, vms.get(i % vms.size()), "warm-up-" + i));
      }
      print("one after the other", inTurn);
      long bytesBefore = largestFolder(vms);
      print("from " + SENDERS + " senders", leaveAtOnce(fleet, vms));
      System.out.println(
          "log bytes a departure: " + (largestFolder(vms) - bytesBefore) / UPSTREAMS);
    }
  }

  private List<Long> leaveAtOnce(ControlFleet fleet, List<String> vms) {
    ExecutorService senders = Executors.newFixedThreadPool(SENDERS);
    List<CompletableFuture<Long>> calls =
        IntStream.range(0, UPSTREAMS)
            .mapToObj(
                i ->
                    CompletableFuture.supplyAsync(
                        () -> leave(fleet, vms.get(i % vms.size()), "i-%08x".formatted(i)),
                        senders))
            .toList();
    List<Long> micros = calls.stream().map(CompletableFuture::join).toList();
    senders.shutdown();
    return micros;
  }

  /** Returns the microseconds until the leave is acknowledged. */
  private long leave(ControlFleet fleet, String vm, String id) {
    URI uri =
        URI.create("http://" + fleet.controlAddress(vm) + "/cuminrack/instances/" + id + "/leave");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .POST(HttpRequest.BodyPublishers.ofString("{\"born\":1796000000000}"))
            .build();
    long startNanos = System.nanoTime();
    try {
      int status = http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
      if (status != 200) {
        throw new AssertionError("expected 200 from " + uri + ", found " + status);
      }
    } catch (IOException | InterruptedException e) {
      throw new AssertionError("no answer from " + uri, e);
    }
    return (System.nanoTime() - startNanos) / 1_000;
  }

  private long largestFolder(List<String> vms) throws IOException {
    long largest = 0;
    for (String vm : vms) {
      try (Stream<Path> files = Files.walk(folder.resolve("data-" + vm))) {
        largest =
            Math.max(
                largest,
                files.filter(Files::isRegularFile).mapToLong(file -> file.toFile().length()).sum());
      }
    }
    return largest;
  }

  private static void print(String what, List<Long> micros) {
    List<Long> sorted = micros.stream().sorted().toList();
    System.out.printf(
        "acknowledged, %s: p50 %d us, p99 %d us, longest %d us%n",
        what,
        sorted.get(sorted.size() / 2),
        sorted.get(sorted.size() * 99 / 100),
        sorted.get(sorted.size() - 1));
  }
}
