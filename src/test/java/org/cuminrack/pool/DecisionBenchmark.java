package org.cuminrack.pool;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Priority;
import org.cuminrack.admission.TicketOutcome;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of one decision in a loaded pool: a request arrives and is placed, and the
 * oldest running request completes.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionBenchmark {
  private static final int LIMIT = 32;
  private static final int RUNNING_PER_UPSTREAM = 24;
  private static final int PROMPTS = 256;
  private static final int PROMPT_BLOCKS = 40;
  private static final int BLOCK_TOKENS = 16;
  private static final long DECISIONS_PER_SECOND_AND_UPSTREAM = 3;
  private static final TicketOutcome DONE =
      new TicketOutcome(TicketOutcome.Result.COMPLETED, 300, Duration.ofMillis(120));

  @Param({"4", "16", "64"})
  public int upstreams;

  private final Random random = new Random(1);
  private final List<AdmissionRequest> requests = new ArrayList<>();
  private final Deque<Long> running = new ArrayDeque<>();
  private PoolCore core;
  private long nowNanos;
  private long lastRequestId;

  @Setup(Level.Trial)
  public void fill() {
    core = new PoolCore(PoolFixture.POOL, PolicyKind.PREDICTIVE, 1);
    for (int i = 0; i < PROMPTS; i++) {
      requests.add(request(i));
    }
    for (int i = 0; i < upstreams; i++) {
      core.announced(
          PoolFixture.announcement("engine-" + i, "boot", LIMIT, LIMIT, 60_000), nowNanos);
    }
    for (int i = 0; i < upstreams * RUNNING_PER_UPSTREAM; i++) {
      submitNext();
    }
  }

  @Benchmark
  public int decide() {
    nowNanos += TimeUnit.SECONDS.toNanos(1) / (DECISIONS_PER_SECOND_AND_UPSTREAM * upstreams);
    int decisions = submitNext();
    if (running.size() > upstreams * RUNNING_PER_UPSTREAM) {
      decisions += core.returnTicket(running.removeFirst(), DONE, nowNanos).size();
    }
    if (lastRequestId % (DECISIONS_PER_SECOND_AND_UPSTREAM * upstreams) == 0) {
      report();
    }
    return decisions;
  }

  private int submitNext() {
    long id = ++lastRequestId;
    List<PoolDecision> decisions = core.submit(id, requests.get(random.nextInt(PROMPTS)), nowNanos);
    for (PoolDecision each : decisions) {
      if (each instanceof PoolDecision.Admitted admitted) {
        running.addLast(admitted.ticket().id());
      }
    }
    return decisions.size();
  }

  private void report() {
    for (int i = 0; i < upstreams; i++) {
      core.reported(
          new Report("engine-" + i, "boot", lastRequestId, RUNNING_PER_UPSTREAM, 0, 0, 0, false),
          nowNanos);
    }
  }

  private AdmissionRequest request(int number) {
    List<Long> hashes = new ArrayList<>();
    for (int block = 0; block < PROMPT_BLOCKS; block++) {
      boolean shared = block < PROMPT_BLOCKS / 2;
      hashes.add(shared ? (long) (number % 8) * 1000 + block : random.nextLong());
    }
    return new AdmissionRequest(
        "planner",
        "organisation-" + number % 10,
        new Fingerprint("f" + number),
        PROMPT_BLOCKS * BLOCK_TOKENS,
        hashes,
        4096,
        number % 2 == 0 ? Priority.INTERACTIVE : Priority.STANDARD,
        1,
        Duration.ofSeconds(10),
        Set.of());
  }
}
