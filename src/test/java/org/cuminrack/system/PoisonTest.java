package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Repeatedly sends a request that crashes every engine that runs it, through every entry. */
@Tag("process")
class PoisonTest {
  private static final int SEND_COUNT = 12;

  @TempDir Path folder;

  private final CallerClient callerClient = new CallerClient();

  @Test
  void shouldLoseAtMostTwoEnginesToOneRequest() throws Exception {
    try (TestCluster cluster =
            TestCluster.in(folder)
                .withControlProcesses(3)
                .withEntries(3)
                .withEngines(4, "--warm")
                .withShops(1)
                .start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      operator.apply(Operator.samplePlan().objects());
      callerClient.awaitServing(cluster);

      GenerationResponse lastResponse = null;
      for (int i = 0; i < SEND_COUNT; i++) {
        String entry = cluster.entryAddresses().get(i % 3);
        lastResponse = callerClient.generate(entry, "this one kills [[poison]] [[tokens=5]]", 5);
      }

      long crashedEngines =
          cluster.upstreamNames().stream().filter(each -> !cluster.process(each).isAlive()).count();
      assertThat(crashedEngines).isAtMost(2);
      assertThat(lastResponse.status()).isEqualTo(422);
      assertThat(lastResponse.problem()).contains("urn:cuminrack:problem:poison");
    }
  }
}
