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
 * Plays planned requests through a policy to engines in virtual time. What a caller, an entry and a
 * pool owner do to each other takes no time here, but reports, cache events and digests come late.
 */
final class Experiment {
  private static final long REPORT_NANOS = Duration.ofMillis(500).toNanos();
  private static final long TICK_NANOS = Duration.ofMillis(25).toNanos();
  private static final long DIGEST_NANOS = Duration.ofMillis(200).toNanos();
  private static final long RESTART_NANOS = Duration.ofSeconds(15).toNanos();

  private final Timeline timeline = new Timeline();
  private final Map<String, VirtualEngine> engines = new LinkedHashMap<>();
  private final PolicyUnderTest policy;
  private final List<RequestRecord> records = new ArrayList<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<String, Attempt> running = new HashMap<>();
  private long lastAttempt;
  private int crashes;

  Experiment(LoadProfile profile, EngineProfile engine, PolicyKind kind, long seed) {
    policy = new PolicyUnderTest(kind, profile, seed);
    for (int i = 0; i < profile.engines(); i++) {
      String name = "engine-" + i;
      VirtualEngine each =
          new VirtualEngine(
              name,
              profile.service(),
              profile.dataCentreOf(i),
              engine,
              timeline,
              this::engineEvent,
              seed * 64 + i);
      engines.put(name, each);
      boot(each, true);
    }
    policy.publishDigests(0);
    timeline.every(TICK_NANOS, () -> obey(policy.tick(timeline.nowNanos())));
    timeline.every(DIGEST_NANOS, () -> policy.publishDigests(timeline.nowNanos()));
  }

  Timeline timeline() {
    return timeline;
  }

  VirtualEngine engine(int number) {
    return engines.get("engine-" + number);
  }

  /** Returns the data centre that an engine is in. */
  String dataCentreOf(String engine) {
    return engines.get(engine).dataCentre();
  }

  /** Returns how many engines fell over. */
  int crashes() {
    return crashes;
  }

  /** Returns how often sequences were preempted so far. */
  long preemptions() {
    return engines.values().stream().mapToLong(VirtualEngine::preemptions).sum();
  }

  /** Plays the requests and returns what became of each. */
  List<RequestRecord> play(List<PlannedRequest> requests, Duration until) {
    for (PlannedRequest each : requests) {
      timeline.at(each.atNanos(), () -> arrive(each));
    }
    timeline.runUntil(until.toNanos());
    return records;
  }

  /** Puts the draining of a data centre, or its end, in force. */
  void drain(String dataCentre, boolean value) {
    obey(policy.drain(dataCentre, value, timeline.nowNanos()));
  }

  /** Starts every engine of a data centre anew, cold; what still runs there is lost. */
  void restart(String dataCentre) {
    for (VirtualEngine each : engines.values()) {
      if (each.dataCentre().equals(dataCentre)) {
        stop(each);
        boot(each, false);
      }
    }
  }

  private void boot(VirtualEngine engine, boolean warm) {
    engine.boot(warm);
    obey(policy.announced(engine, timeline.nowNanos()));
    reportLater(engine, engine.bootId());
  }

  private void reportLater(VirtualEngine engine, String bootId) {
    timeline.after(
        REPORT_NANOS,
        () -> {
          if (engine.isUp() && engine.bootId().equals(bootId)) {
            obey(policy.reported(engine, timeline.nowNanos()));
            reportLater(engine, bootId);
          }
        });
  }

  private void arrive(PlannedRequest request) {
    RequestRecord record = new RequestRecord(request);
    records.add(record);
    submit(Attempt.first(record));
    long timeoutNanos = request.trafficClass().timeout().toNanos();
    timeline.at(request.atNanos() + timeoutNanos, () -> leave(record));
  }

  private void submit(Attempt attempt) {
    long id = ++lastAttempt;
    attempts.put(id, attempt);
    obey(policy.submit(id, attempt.admission(timeline.nowNanos()), timeline.nowNanos()));
  }

  private void obey(List<PoolDecision> decisions) {
    for (PoolDecision each : decisions) {
      Attempt attempt = attempts.remove(each.requestId());
      if (each instanceof PoolDecision.Admitted admitted) {
        dispatch(attempt, admitted.ticket());
      } else if (attempt.record().isOpen()) {
        attempt.record().ended(attempt.endOnRefusal());
      }
    }
  }

  private void dispatch(Attempt attempt, Ticket ticket) {
    attempt.admitted(ticket);
    VirtualEngine engine = engines.get(ticket.upstream());
    if (!engine.isUp() || !engine.bootId().equals(ticket.bootId())) {
      finish(attempt, TicketOutcome.Result.UNREACHABLE);
      retry(attempt, engine);
      return;
    }
    attempt.record().dispatched(engine.name(), timeline.nowNanos());
    String id = attempt.generationId();
    running.put(id, attempt);
    EngineModel.SubmitResult result = engine.submit(attempt.generation());
    if (result == EngineModel.SubmitResult.FELL_OVER) {
      fallOver(engine);
    } else if (result == EngineModel.SubmitResult.NO_ROOM) {
      running.remove(id);
      finish(attempt, TicketOutcome.Result.OVERLOADED);
      attempt.record().ended(RequestEnd.REFUSED);
    }
  }

  private void engineEvent(VirtualEngine engine, EngineEvent event) {
    Attempt attempt = running.get(event.generationId());
    if (attempt == null) {
      return;
    }
    if (event.kind() == EngineEvent.Kind.TOKEN) {
      attempt.record().token(timeline.nowNanos());
      return;
    }
    running.remove(event.generationId());
    attempt.record().ended(RequestEnd.WHOLE);
    finish(attempt, TicketOutcome.Result.COMPLETED);
  }

  private void leave(RequestRecord record) {
    if (!record.isOpen() || record.hasFirstToken()) {
      return;
    }
    record.ended(RequestEnd.TIMED_OUT);
    attempts.entrySet().stream()
        .filter(each -> each.getValue().record().equals(record))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::leaveQueue);
    running.values().stream()
        .filter(each -> each.record().equals(record))
        .toList()
        .forEach(this::cancel);
  }

  private void leaveQueue(long attemptId) {
    attempts.remove(attemptId);
    obey(policy.cancelled(attemptId, timeline.nowNanos()));
  }

  private void cancel(Attempt attempt) {
    String id = attempt.generationId();
    running.remove(id);
    engines.get(attempt.ticket().upstream()).cancel(id);
    finish(attempt, TicketOutcome.Result.CANCELLED);
  }

  private void fallOver(VirtualEngine engine) {
    crashes++;
    stop(engine);
    timeline.after(RESTART_NANOS, () -> boot(engine, false));
  }

  private void stop(VirtualEngine engine) {
    String bootId = engine.bootId();
    engine.crash();
    List<Attempt> lost =
        running.values().stream().filter(each -> each.ticket().bootId().equals(bootId)).toList();
    lost.forEach(each -> running.remove(each.generationId()));
    for (Attempt each : lost) {
      finish(each, TicketOutcome.Result.LOST);
      retry(each, engine);
    }
    obey(policy.gone(engine, timeline.nowNanos()));
  }

  private void retry(Attempt attempt, VirtualEngine failed) {
    if (!attempt.record().isOpen()) {
      return;
    }
    if (attempt.record().hasFirstToken()) {
      attempt.record().ended(RequestEnd.LOST);
      return;
    }
    submit(attempt.next(failed.name()));
  }

  private void finish(Attempt attempt, TicketOutcome.Result result) {
    TicketOutcome outcome = attempt.finish(result);
    obey(policy.finished(attempt.ticket(), outcome, timeline.nowNanos()));
  }
}
