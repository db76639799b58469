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
 * Finds what one warm engine completes: a fixed number of requests, up to its warm limit, is kept
 * on it, and its whole answers are counted. The best number gives the capacity.
 */
final class CapacityProbe {
  private static final long WARM_UP_NANOS = Duration.ofMinutes(1).toNanos();
  private static final long MEASURED_NANOS = Duration.ofMinutes(10).toNanos();
  private static final int CONCURRENCY_STEP = 2;
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadProfile profile;
  private final EngineProfile engine;

  CapacityProbe(LoadProfile profile, EngineProfile engine) {
    this.profile = profile;
    this.engine = engine;
  }

  /** Returns the requests a second that one engine alone completes at best. */
  double perSecond() {
    double best = 0;
    for (int n = CONCURRENCY_STEP; n <= engine.warmLimit(); n += CONCURRENCY_STEP) {
      best = Math.max(best, perSecond(n));
    }
    return best;
  }

  private double perSecond(int concurrency) {
    List<PlannedRequest> plan = Workload.of(profile, 1).plan(100, Duration.ofMinutes(10));
    EngineModel model = EngineModel.warm(engine);
    Map<String, RequestRecord> open = new HashMap<>();
    List<RequestRecord> ended = new ArrayList<>();
    long nowNanos = 0;
    int next = 0;
    while (nowNanos < WARM_UP_NANOS + MEASURED_NANOS) {
      while (open.size() < concurrency) {
        submit(model, plan.get(next++), nowNanos, open);
      }
      nowNanos += model.beginStep().orElseThrow();
      for (EngineEvent each : model.endStep()) {
        apply(each, nowNanos, open, ended);
      }
    }
    return RunMetrics.of(ended).whole() / (MEASURED_NANOS / NANOS_PER_SECOND);
  }

  private static void submit(
      EngineModel model, PlannedRequest planned, long nowNanos, Map<String, RequestRecord> open) {
    PlannedRequest now =
        new PlannedRequest(
            planned.number(),
            nowNanos,
            planned.organisation(),
            planned.trafficClass(),
            planned.prefix(),
            planned.outputTokens());
    String id = Integer.toString(now.number());
    open.put(id, new RequestRecord(now));
    model.submit(
        new GenerationRequest(
            id,
            now.promptTokens(),
            now.blockHashes(),
            now.outputTokens(),
            false,
            now.trafficClass().priority()));
  }

  private static void apply(
      EngineEvent event,
      long nowNanos,
      Map<String, RequestRecord> open,
      List<RequestRecord> ended) {
    RequestRecord record = open.get(event.generationId());
    if (event.kind() == EngineEvent.Kind.TOKEN) {
      record.token(nowNanos);
      return;
    }
    open.remove(event.generationId());
    record.ended(RequestEnd.WHOLE);
    if (nowNanos >= WARM_UP_NANOS) {
      ended.add(record);
    }
  }
}
