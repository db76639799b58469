package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.cuminrack.standin.OutputText;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
class WholePathTest {
  private static final int REQUESTS = 200;
  private static final int PARALLEL_CALLERS = 16;
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

  @TempDir Path folder;

  private final Callers callers = new Callers();

  @Test
  void shouldAnswerEveryGenerationWholeAndRunEveryOrderOnce() throws Exception {
    try (TestCluster cluster =
            TestCluster.in(folder)
                .withControls(3)
                .withEntries(6)
                .withEngines(4, "--warm")
                .withShops(2)
                .start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.shopPlan().objects());
      awaitServing(cluster);
      ExecutorService pool = Executors.newFixedThreadPool(PARALLEL_CALLERS);
      List<Future<GenerationAnswer>> generations = new ArrayList<>();
      List<Future<PlainAnswer>> orders = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        int number = i;
        String entry = cluster.entryAddresses().get(i % 6);
        generations.add(pool.submit(() -> callers.generate(entry, prompt(number), 40)));
        orders.add(pool.submit(() -> callers.order(entry, "order-" + number, "{}")));
      }

      for (int i = 0; i < REQUESTS; i++) {
        assertWhole(prompt(i), generations.get(i).get());
        assertThat(orders.get(i).get().status()).isEqualTo(200);
      }
      pool.shutdown();
      assertThat(executions(cluster)).isEqualTo(REQUESTS);
    }
  }

  private void awaitServing(TestCluster cluster) {
    for (String entry : cluster.entryAddresses()) {
      Conditions.await(
          "generations through " + entry,
          READY_TIMEOUT,
          () -> callers.generate(entry, "ready? [[tokens=1]]", 1).isWhole());
      Conditions.await(
          "shop calls through " + entry,
          READY_TIMEOUT,
          () -> callers.get(entry, "/shop/stock").status() == 200);
    }
  }

  private static String prompt(int number) {
    return "a week of menus for child " + number + " [[tokens=" + (5 + number % 30) + "]]";
  }

  private static void assertWhole(String prompt, GenerationAnswer answer) {
    assertWithMessage("%s", answer).that(answer.isWhole()).isTrue();
    OutputText expected = OutputText.of(prompt);
    int count = answer.texts().size();
    assertThat(answer.indexes()).isEqualTo(IntStream.range(0, count).boxed().toList());
    assertThat(answer.texts())
        .isEqualTo(IntStream.range(0, count).mapToObj(expected::word).toList());
  }

  private int executions(TestCluster cluster) {
    int total = 0;
    for (String shop : cluster.upstreams()) {
      if (shop.startsWith("shop")) {
        String state = callers.get(cluster.address(shop), "/stand-in/executions").body();
        total +=
            org.cuminrack.http.Json.readTree(
                    state.getBytes(java.nio.charset.StandardCharsets.UTF_8))
                .get()
                .path("total")
                .asInt();
      }
    }
    return total;
  }
}
