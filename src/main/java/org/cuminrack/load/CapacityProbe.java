package org.cuminrack.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.standin.EngineEvent;
import org.cuminrack.standin.EngineModel;
import org.cuminrack.standin.EngineProfile;
import org.cuminrack.standin.GenerationRequest;

/**
 * Measures the capacity of one warm engine: keeps a fixed number of requests in flight and counts
 * the completed requests, for even numbers up to the warm limit. The highest rate is the capacity.
 */
final class CapacityProbe {
  private static final long WARM_UP_NANOS = Duration.ofMinutes(1).toNanos();
  private static final long MEASUREMENT_NANOS = Duration.ofMinutes(10).toNanos();
  private static final int CONCURRENCY_STEP = 2;
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadProfile profile;
  private final EngineProfile engine;

  CapacityProbe(LoadProfile profile, EngineProfile engine) {
    this.profile = profile;
    this.engine = engine;
  }

  /** Measures the highest rate at which one engine completes requests. */
  double measureRequestsPerSecond() {
    double best = 0;
    for (int concurrency = CONCURRENCY_STEP;
        concurrency <= engine.warmLimit();
        concurrency += CONCURRENCY_STEP) {
      best = Math.max(best, measureRequestsPerSecond(concurrency));
    }
    return best;
  }

  private double measureRequestsPerSecond(int concurrency) {
    List<PlannedRequest> plan = Workload.of(profile, 1).plan(100, Duration.ofMinutes(10));
    EngineModel model = EngineModel.warm(engine);
    Map<String, RequestRecord> inFlight = new HashMap<>();
    List<RequestRecord> completed = new ArrayList<>();
    long nowNanos = 0;
    int nextRequest = 0;
    while (nowNanos < WARM_UP_NANOS + MEASUREMENT_NANOS) {
      while (inFlight.size() < concurrency) {
        submit(model, plan.get(nextRequest++), nowNanos, inFlight);
      }
      nowNanos += model.beginStep().orElseThrow();
      for (EngineEvent each : model.endStep()) {
        applyEvent(each, nowNanos, inFlight, completed);
      }
    }
    return RequestMetrics.of(completed).completed() / (MEASUREMENT_NANOS / NANOS_PER_SECOND);
  }

  private static void submit(
      EngineModel model,
      PlannedRequest planned,
      long nowNanos,
      Map<String, RequestRecord> inFlight) {
    PlannedRequest submitted =
        new PlannedRequest(
            planned.number(),
            nowNanos,
            planned.organisation(),
            planned.trafficClass(),
            planned.prefixIndex(),
            planned.outputTokens());
    String id = Integer.toString(submitted.number());
    inFlight.put(id, new RequestRecord(submitted));
    model.submit(
        new GenerationRequest(
            id,
            submitted.promptTokens(),
            submitted.blockHashes(),
            submitted.outputTokens(),
            false,
            submitted.trafficClass().priority()));
  }

  private static void applyEvent(
      EngineEvent event,
      long nowNanos,
      Map<String, RequestRecord> inFlight,
      List<RequestRecord> completed) {
    RequestRecord record = inFlight.get(event.generationId());
    if (event.kind() == EngineEvent.Kind.TOKEN) {
      record.addToken(nowNanos);
      return;
    }
    inFlight.remove(event.generationId());
    record.setOutcome(RequestOutcome.COMPLETED);
    if (nowNanos >= WARM_UP_NANOS) {
      completed.add(record);
    }
  }
}
