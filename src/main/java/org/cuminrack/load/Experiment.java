package org.cuminrack.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.pool.PoolDecision;
import org.cuminrack.standin.EngineEvent;
import org.cuminrack.standin.EngineModel;
import org.cuminrack.standin.EngineProfile;
import org.cuminrack.standin.GenerationRequest;

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

  /** One try of a request. */
  private static final class Attempt {
    private final RequestRecord record;
    private final int number;
    private final Set<String> excluded;
    private Ticket ticket;
    private boolean over;

    private Attempt(RequestRecord record, int number, Set<String> excluded) {
      this.record = record;
      this.number = number;
      this.excluded = excluded;
    }
  }

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
    submit(new Attempt(record, 1, Set.of()));
    long timeoutNanos = request.trafficClass().timeout().toNanos();
    timeline.at(request.atNanos() + timeoutNanos, () -> leave(record));
  }

  private void submit(Attempt attempt) {
    long id = ++lastAttempt;
    attempts.put(id, attempt);
    obey(policy.submit(id, admission(attempt), timeline.nowNanos()));
  }

  private AdmissionRequest admission(Attempt attempt) {
    PlannedRequest request = attempt.record.request();
    TrafficClass trafficClass = request.trafficClass();
    long passedNanos = timeline.nowNanos() - request.atNanos();
    return new AdmissionRequest(
        trafficClass.route(),
        request.organisation(),
        new Fingerprint(Integer.toHexString(request.number())),
        request.promptTokens(),
        request.blockHashes(),
        trafficClass.outputs().maxTokens(),
        trafficClass.priority(),
        attempt.number,
        trafficClass.timeout().minusNanos(passedNanos),
        attempt.excluded);
  }

  private void obey(List<PoolDecision> decisions) {
    for (PoolDecision each : decisions) {
      Attempt attempt = attempts.remove(each.requestId());
      if (each instanceof PoolDecision.Admitted admitted) {
        dispatch(attempt, admitted.ticket());
      } else if (attempt.record.isOpen()) {
        attempt.record.ended(attempt.number == 1 ? RequestEnd.REFUSED : RequestEnd.LOST);
      }
    }
  }

  private void dispatch(Attempt attempt, Ticket ticket) {
    attempt.ticket = ticket;
    VirtualEngine engine = engines.get(ticket.upstream());
    if (!engine.isUp() || !engine.bootId().equals(ticket.bootId())) {
      finish(attempt, TicketOutcome.Result.UNREACHABLE);
      retry(attempt, engine);
      return;
    }
    attempt.record.dispatched(engine.name(), timeline.nowNanos());
    String id = generationId(ticket);
    running.put(id, attempt);
    EngineModel.Verdict verdict = engine.submit(generation(attempt, id));
    if (verdict == EngineModel.Verdict.FELL_OVER) {
      fallOver(engine);
    } else if (verdict == EngineModel.Verdict.NO_ROOM) {
      running.remove(id);
      finish(attempt, TicketOutcome.Result.OVERLOADED);
      attempt.record.ended(RequestEnd.REFUSED);
    }
  }

  private GenerationRequest generation(Attempt attempt, String id) {
    PlannedRequest request = attempt.record.request();
    return new GenerationRequest(
        id,
        request.promptTokens(),
        request.blockHashes(),
        request.outputTokens(),
        false,
        request.trafficClass().priority());
  }

  private void engineEvent(VirtualEngine engine, EngineEvent event) {
    Attempt attempt = running.get(event.generationId());
    if (attempt == null) {
      return;
    }
    if (event.kind() == EngineEvent.Kind.TOKEN) {
      attempt.record.token(timeline.nowNanos());
      return;
    }
    running.remove(event.generationId());
    attempt.record.ended(RequestEnd.WHOLE);
    finish(attempt, TicketOutcome.Result.COMPLETED);
  }

  private void leave(RequestRecord record) {
    if (!record.isOpen() || record.hasFirstToken()) {
      return;
    }
    record.ended(RequestEnd.TIMED_OUT);
    attempts.entrySet().stream()
        .filter(each -> each.getValue().record.equals(record))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::leaveQueue);
    running.values().stream()
        .filter(each -> each.record.equals(record))
        .toList()
        .forEach(this::cancel);
  }

  private void leaveQueue(long attemptId) {
    attempts.remove(attemptId);
    obey(policy.cancelled(attemptId, timeline.nowNanos()));
  }

  private void cancel(Attempt attempt) {
    String id = generationId(attempt.ticket);
    running.remove(id);
    engines.get(attempt.ticket.upstream()).cancel(id);
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
        running.values().stream().filter(each -> each.ticket.bootId().equals(bootId)).toList();
    lost.forEach(each -> running.remove(generationId(each.ticket)));
    for (Attempt each : lost) {
      finish(each, TicketOutcome.Result.LOST);
      retry(each, engine);
    }
    obey(policy.gone(engine, timeline.nowNanos()));
  }

  private void retry(Attempt attempt, VirtualEngine failed) {
    if (!attempt.record.isOpen()) {
      return;
    }
    if (attempt.record.hasFirstToken()) {
      attempt.record.ended(RequestEnd.LOST);
      return;
    }
    Set<String> excluded = new HashSet<>(attempt.excluded);
    excluded.add(failed.name());
    submit(new Attempt(attempt.record, attempt.number + 1, excluded));
  }

  private void finish(Attempt attempt, TicketOutcome.Result result) {
    if (attempt.over) {
      throw new IllegalStateException("a ticket was given back twice: " + attempt.ticket);
    }
    attempt.over = true;
    RequestRecord record = attempt.record;
    Duration firstTokenAfter =
        record.hasFirstToken()
            ? Duration.ofNanos(
                record.firstTokenAfterNanos() + record.request().atNanos() - record.dispatchNanos())
            : Duration.ZERO;
    TicketOutcome outcome = new TicketOutcome(result, record.tokens(), firstTokenAfter);
    obey(policy.finished(attempt.ticket, outcome, timeline.nowNanos()));
  }

  private static String generationId(Ticket ticket) {
    return ticket.pool() + "-" + ticket.id();
  }
}
