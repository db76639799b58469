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

/** Orders, each sent again through another entry, while processes are killed in turn. */
@Tag("process")
class OrderFailureTest {
  private static final int ORDERS = 500;
  private static final int PARALLEL_CALLERS = 8;
  private static final List<String> VICTIMS =
      List.of("entry-1", "shop-1", "control-1", "entry-2", "shop-2", "control-2");

  @TempDir Path folder;

  private final Callers callers = new Callers();
  private final Set<String> toldNotRun = ConcurrentHashMap.newKeySet();
  private final Set<String> answered = ConcurrentHashMap.newKeySet();

  @Test
  void shouldRunNoOrderTwiceAndNeverSayNotRunOfOneThatRan() throws Exception {
    try (TestCluster cluster =
            TestCluster.in(folder)
                .withControls(3)
                .withEntries(4)
                .withEngines(1, "--warm")
                .withShops(2, "--service-millis", "20")
                .start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.shopPlan().objects());
      callers.awaitServing(cluster);
      ExecutorService pool = Executors.newFixedThreadPool(PARALLEL_CALLERS);
      List<Future<?>> orders =
          IntStream.range(0, ORDERS)
              .<Future<?>>mapToObj(i -> pool.submit(() -> order(cluster, i)))
              .toList();

      int wave = ORDERS / VICTIMS.size();
      for (int i = 0; i < VICTIMS.size(); i++) {
        orders.get(i * wave + wave / 2).get();
        cluster.process(VICTIMS.get(i)).kill();
        cluster.restart(VICTIMS.get(i));
      }
      for (Future<?> each : orders) {
        each.get();
      }
      pool.shutdown();

      Map<String, Integer> executions = ShopLog.executionsByKey(folder);
      executions.forEach(
          (key, count) -> assertWithMessage("runs of %s", key).that(count).isEqualTo(1));
      toldNotRun.forEach(key -> assertThat(executions).doesNotContainKey(key));
      answered.forEach(key -> assertThat(executions).containsKey(key));
      assertThat(answered.size()).isAtLeast(ORDERS / 2);
    }
  }

  /** Sends an order and its resend through two entries; remembers what the last answer said. */
  private void order(TestCluster cluster, int number) {
    String key = "order-" + number;
    List<String> entries = cluster.entryAddresses();
    PlainAnswer first = callers.order(entries.get(number % entries.size()), key, "{}");
    PlainAnswer second = callers.order(entries.get((number + 1) % entries.size()), key, "{}");
    if (first.status() == 200 || second.status() == 200) {
      answered.add(key);
    }
    if (second.saysNotRun() || (first.saysNotRun() && second.status() == 0)) {
      toldNotRun.add(key);
    }
  }
}
