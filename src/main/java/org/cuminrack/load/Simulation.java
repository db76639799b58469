package org.cuminrack.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.pool.PoolDecision;
import org.cuminrack.standin.EngineEvent;
import org.cuminrack.standin.EngineModel;
import org.cuminrack.standin.EngineProfile;

/**
 * A discrete-event simulation that sends planned requests through pools with one policy to engines.
 * Calls between callers, entries and pool owners take no simulated time, but reports, cache events
 * and summaries are delayed.
 */
final class Simulation {
  private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
  private static final long TICK_INTERVAL_NANOS = Duration.ofMillis(25).toNanos();
  private static final long SUMMARY_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();
  private static final long RESTART_DELAY_NANOS = Duration.ofSeconds(15).toNanos();

  private final Timeline timeline = new Timeline();
  private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
  private final SimulatedPools pools;
  private final List<RequestRecord> records = new ArrayList<>();
  private final Map<Long, Attempt> queuedAttempts = new HashMap<>();
  private final Map<String, Attempt> runningAttempts = new HashMap<>();
  private long lastAttemptId;
  private int crashes;

  Simulation(LoadProfile profile, EngineProfile engine, PolicyKind policy, long seed) {
    pools = new SimulatedPools(policy, profile, seed);
    for (int i = 0; i < profile.engines(); i++) {
      String name = "engine-" + i;
      SimulatedEngine each =
          new SimulatedEngine(
              name,
              profile.service(),
              profile.dataCentreOf(i),
              engine,
              timeline,
              this::onEngineEvent,
              seed * 64 + i);
      engines.put(name, each);
      boot(each, true);
    }
    pools.publishSummaries(0);
    timeline.every(TICK_INTERVAL_NANOS, () -> apply(pools.tick(timeline.nowNanos())));
    timeline.every(SUMMARY_INTERVAL_NANOS, () -> pools.publishSummaries(timeline.nowNanos()));
  }

  Timeline timeline() {
    return timeline;
  }

  SimulatedEngine engine(int number) {
    return engines.get("engine-" + number);
  }

  /** Returns the data centre of an engine. */
  String dataCentreOf(String engine) {
    return engines.get(engine).dataCentre();
  }

  /** Returns the number of engine crashes from overload. */
  int crashes() {
    return crashes;
  }

  /** Returns the number of preemptions so far, over all engines. */
  long preemptions() {
    return engines.values().stream().mapToLong(SimulatedEngine::preemptions).sum();
  }

  /** Runs the simulation and returns a record of each request. */
  List<RequestRecord> run(List<PlannedRequest> requests, Duration until) {
    for (PlannedRequest each : requests) {
      timeline.at(each.arrivalNanos(), () -> onArrival(each));
    }
    timeline.runUntil(until.toNanos());
    return records;
  }

  /** Starts or ends the draining of a data centre. */
  void drain(String dataCentre, boolean draining) {
    apply(pools.drain(dataCentre, draining, timeline.nowNanos()));
  }

  /** Restarts every engine of a data centre cold, which ends the attempts that run there. */
  void restart(String dataCentre) {
    for (SimulatedEngine each : engines.values()) {
      if (each.dataCentre().equals(dataCentre)) {
        stop(each);
        boot(each, false);
      }
    }
  }

  private void boot(SimulatedEngine engine, boolean warm) {
    engine.boot(warm);
    apply(pools.announced(engine, timeline.nowNanos()));
    scheduleReport(engine, engine.bootId());
  }

  private void scheduleReport(SimulatedEngine engine, String bootId) {
    timeline.after(
        REPORT_INTERVAL_NANOS,
        () -> {
          if (engine.isUp() && engine.bootId().equals(bootId)) {
            apply(pools.reported(engine, timeline.nowNanos()));
            scheduleReport(engine, bootId);
          }
        });
  }

  private void onArrival(PlannedRequest request) {
    RequestRecord record = new RequestRecord(request);
    records.add(record);
    submit(Attempt.first(record));
    long timeoutNanos = request.trafficClass().timeout().toNanos();
    timeline.at(request.arrivalNanos() + timeoutNanos, () -> timeOut(record));
  }

  private void submit(Attempt attempt) {
    long id = ++lastAttemptId;
    queuedAttempts.put(id, attempt);
    apply(pools.submit(id, attempt.admissionRequest(timeline.nowNanos()), timeline.nowNanos()));
  }

  private void apply(List<PoolDecision> decisions) {
    for (PoolDecision each : decisions) {
      Attempt attempt = queuedAttempts.remove(each.requestId());
      if (each instanceof PoolDecision.Admitted admitted) {
        dispatch(attempt, admitted.ticket());
      } else if (attempt.record().isOpen()) {
        attempt.record().setOutcome(attempt.outcomeOnRefusal());
      }
    }
  }

  private void dispatch(Attempt attempt, Ticket ticket) {
    attempt.setTicket(ticket);
    SimulatedEngine engine = engines.get(ticket.upstream());
    if (!engine.isUp() || !engine.bootId().equals(ticket.bootId())) {
      finish(attempt, TicketOutcome.Result.UNREACHABLE);
      retry(attempt, engine);
      return;
    }
    attempt.record().recordDispatch(engine.name(), timeline.nowNanos());
    String id = attempt.generationId();
    runningAttempts.put(id, attempt);
    EngineModel.SubmitResult result = engine.submit(attempt.generationRequest());
    if (result == EngineModel.SubmitResult.OVERLOADED) {
      crashAndRestart(engine);
    } else if (result == EngineModel.SubmitResult.NO_ROOM) {
      runningAttempts.remove(id);
      finish(attempt, TicketOutcome.Result.OVERLOADED);
      attempt.record().setOutcome(RequestOutcome.REFUSED);
    }
  }

  private void onEngineEvent(SimulatedEngine engine, EngineEvent event) {
    Attempt attempt = runningAttempts.get(event.generationId());
    if (attempt == null) {
      return;
    }
    if (event.kind() == EngineEvent.Kind.TOKEN) {
      attempt.record().addToken(timeline.nowNanos());
      return;
    }
    runningAttempts.remove(event.generationId());
    attempt.record().setOutcome(RequestOutcome.COMPLETED);
    finish(attempt, TicketOutcome.Result.COMPLETED);
  }

  private void timeOut(RequestRecord record) {
    if (!record.isOpen() || record.hasFirstToken()) {
      return;
    }
    record.setOutcome(RequestOutcome.TIMED_OUT);
    queuedAttempts.entrySet().stream()
        .filter(each -> each.getValue().record().equals(record))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::cancelQueued);
    runningAttempts.values().stream()
        .filter(each -> each.record().equals(record))
        .toList()
        .forEach(this::cancelRunning);
  }

  private void cancelQueued(long attemptId) {
    queuedAttempts.remove(attemptId);
    apply(pools.cancel(attemptId, timeline.nowNanos()));
  }

  private void cancelRunning(Attempt attempt) {
    String id = attempt.generationId();
    runningAttempts.remove(id);
    engines.get(attempt.ticket().upstream()).cancel(id);
    finish(attempt, TicketOutcome.Result.CANCELLED);
  }

  private void crashAndRestart(SimulatedEngine engine) {
    crashes++;
    stop(engine);
    timeline.after(RESTART_DELAY_NANOS, () -> boot(engine, false));
  }

  private void stop(SimulatedEngine engine) {
    String bootId = engine.bootId();
    engine.crash();
    List<Attempt> interrupted =
        runningAttempts.values().stream()
            .filter(each -> each.ticket().bootId().equals(bootId))
            .toList();
    interrupted.forEach(each -> runningAttempts.remove(each.generationId()));
    for (Attempt each : interrupted) {
      finish(each, TicketOutcome.Result.LOST);
      retry(each, engine);
    }
    apply(pools.removeEngine(engine, timeline.nowNanos()));
  }

  private void retry(Attempt attempt, SimulatedEngine failed) {
    if (!attempt.record().isOpen()) {
      return;
    }
    if (attempt.record().hasFirstToken()) {
      attempt.record().setOutcome(RequestOutcome.LOST);
      return;
    }
    submit(attempt.next(failed.name()));
  }

  private void finish(Attempt attempt, TicketOutcome.Result result) {
    TicketOutcome outcome = attempt.finish(result);
    apply(pools.returnTicket(attempt.ticket(), outcome, timeline.nowNanos()));
  }
}
