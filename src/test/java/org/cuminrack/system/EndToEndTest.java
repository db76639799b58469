package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
class EndToEndTest {
  private static final int REQUEST_COUNT = 200;
  private static final int CALLER_COUNT = 16;

  @TempDir Path folder;

  private final CallerClient callerClient = new CallerClient();

  @Test
  void shouldCompleteEveryGenerationAndRunEveryOrderOnce() throws Exception {
    try (TestCluster cluster =
            TestCluster.in(folder)
                .withControlProcesses(3)
                .withEntries(6)
                .withEngines(4, "--warm")
                .withShops(2)
                .start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.samplePlan().objects());
      callerClient.awaitServing(cluster);
      ExecutorService pool = Executors.newFixedThreadPool(CALLER_COUNT);
      List<Future<GenerationResponse>> generations = new ArrayList<>();
      List<Future<PlainResponse>> orders = new ArrayList<>();
      for (int i = 0; i < REQUEST_COUNT; i++) {
        int number = i;
        String entry = cluster.entryAddresses().get(i % 6);
        generations.add(pool.submit(() -> callerClient.generate(entry, prompt(number), 40)));
        orders.add(pool.submit(() -> callerClient.order(entry, "order-" + number, "{}")));
      }

      for (int i = 0; i < REQUEST_COUNT; i++) {
        GenerationChecks.assertComplete(prompt(i), generations.get(i).get());
        assertThat(orders.get(i).get().status()).isEqualTo(200);
      }
      pool.shutdown();
      Map<String, Integer> executions = ShopLogs.executionsByKey(folder);
      assertThat(executions).hasSize(REQUEST_COUNT);
      assertThat(Set.copyOf(executions.values())).containsExactly(1);
    }
  }

  private static String prompt(int number) {
    return "a week of menus for child " + number + " [[tokens=" + (5 + number % 30) + "]]";
  }
}
