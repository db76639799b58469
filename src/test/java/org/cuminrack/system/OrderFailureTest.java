package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Sends each order through two entries while processes are killed in turn. */
@Tag("process")
class OrderFailureTest {
  private static final int ORDER_COUNT = 500;
  private static final int CALLER_COUNT = 8;
  private static final List<String> KILLED_PROCESSES =
      List.of("entry-1", "shop-1", "control-1", "entry-2", "shop-2", "control-2");

  @TempDir Path folder;

  private final CallerClient callerClient = new CallerClient();
  private final Set<String> notRunKeys = ConcurrentHashMap.newKeySet();
  private final Set<String> answeredKeys = ConcurrentHashMap.newKeySet();

  @Test
  void shouldRunOrdersAtMostOnceAndNeverReportAnExecutedOrderAsNotRun() throws Exception {
    try (TestCluster cluster =
            TestCluster.in(folder)
                .withControlProcesses(3)
                .withEntries(4)
                .withEngines(1, "--warm")
                .withShops(2, "--service-millis", "20")
                .start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.samplePlan().objects());
      callerClient.awaitServing(cluster);
      ExecutorService pool = Executors.newFixedThreadPool(CALLER_COUNT);
      List<Future<?>> orders =
          IntStream.range(0, ORDER_COUNT)
              .<Future<?>>mapToObj(i -> pool.submit(() -> order(cluster, i)))
              .toList();

      int ordersPerKill = ORDER_COUNT / KILLED_PROCESSES.size();
      for (int i = 0; i < KILLED_PROCESSES.size(); i++) {
        orders.get(i * ordersPerKill + ordersPerKill / 2).get();
        cluster.process(KILLED_PROCESSES.get(i)).kill();
        cluster.restart(KILLED_PROCESSES.get(i));
      }
      for (Future<?> each : orders) {
        each.get();
      }
      pool.shutdown();

      Map<String, Integer> executions = ShopLogs.executionsByKey(folder);
      executions.forEach(
          (key, count) -> assertWithMessage("runs of %s", key).that(count).isEqualTo(1));
      notRunKeys.forEach(key -> assertThat(executions).doesNotContainKey(key));
      answeredKeys.forEach(key -> assertThat(executions).containsKey(key));
      assertThat(answeredKeys.size()).isAtLeast(ORDER_COUNT / 2);
    }
  }

  /**
   * Sends the same order through two entries, one after the other, and records the final outcome.
   */
  private void order(TestCluster cluster, int number) {
    String key = "order-" + number;
    List<String> entries = cluster.entryAddresses();
    PlainResponse first = callerClient.order(entries.get(number % entries.size()), key, "{}");
    PlainResponse second =
        callerClient.order(entries.get((number + 1) % entries.size()), key, "{}");
    if (first.status() == 200 || second.status() == 200) {
      answeredKeys.add(key);
    }
    if (second.reportsNotRun() || (first.reportsNotRun() && second.status() == 0)) {
      notRunKeys.add(key);
    }
  }
}
