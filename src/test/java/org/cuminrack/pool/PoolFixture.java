package org.cuminrack.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Priority;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.time.ManualClock;

/** Drives one pool on a manual clock and records its decisions. */
final class PoolFixture {
  static final PoolKey POOL = new PoolKey("planner", "dc-a", 0);
  private static final Duration STEP = Duration.ofMillis(20);

  final ManualClock clock = new ManualClock();
  final Map<Long, Ticket> admitted = new TreeMap<>();
  final Map<Long, PoolDecision.Refused> refused = new TreeMap<>();
  final PoolCore core;
  private final Map<Long, String> organisations = new TreeMap<>();
  private final List<String> reportingUpstreams = new ArrayList<>();
  private long lastRequestId;
  private long lastReportSequence;

  PoolFixture(PolicyKind policy) {
    core = new PoolCore(POOL, policy, 1);
  }

  static PoolFixture predictive() {
    return new PoolFixture(PolicyKind.PREDICTIVE);
  }

  static Announcement announcement(
      String upstream, String bootId, int coldLimit, int warmLimit, long memoryTokens) {
    return new Announcement(
        upstream,
        bootId,
        "dc-a",
        "planner",
        "127.0.0.1:9",
        coldLimit,
        warmLimit,
        memoryTokens,
        true,
        "m",
        "1");
  }

  static AdmissionRequest request(String organisation, Priority priority) {
    return request(organisation, priority, 1, organisation);
  }

  static AdmissionRequest request(
      String organisation, Priority priority, int attempt, String fingerprintHex) {
    return new AdmissionRequest(
        "planner",
        organisation,
        new Fingerprint(fingerprintHex),
        100,
        List.of(),
        0,
        priority,
        attempt,
        Duration.ofSeconds(10),
        Set.of());
  }

  /** Announces an upstream without a memory limit. */
  PoolFixture withUpstream(String upstream, int coldLimit, int warmLimit) {
    announce(announcement(upstream, "boot-1", coldLimit, warmLimit, 0));
    return this;
  }

  void announce(Announcement announcement) {
    reportingUpstreams.remove(announcement.upstream());
    reportingUpstreams.add(announcement.upstream());
    collect(core.announced(announcement, clock.nanoTime()));
  }

  long submit(AdmissionRequest request) {
    long id = ++lastRequestId;
    organisations.put(id, request.organisation());
    collect(core.submit(id, request, clock.nanoTime()));
    return id;
  }

  /** Submits {@code count} standard requests and returns how many were admitted at once. */
  int submitMany(int count, String organisation) {
    int before = admitted.size();
    for (int i = 0; i < count; i++) {
      submit(request(organisation, Priority.STANDARD));
    }
    return admitted.size() - before;
  }

  /** Completes every outstanding ticket of an upstream. */
  int completeAll(String upstream, Duration timeToFirstToken, int outputTokens) {
    List<Long> ids = outstanding(upstream);
    for (long id : ids) {
      finish(id, TicketOutcome.Result.COMPLETED, timeToFirstToken, outputTokens);
    }
    return ids.size();
  }

  void finish(long id, TicketOutcome.Result result, Duration timeToFirstToken, int outputTokens) {
    Ticket ticket = admitted.remove(id);
    TicketOutcome outcome = new TicketOutcome(result, outputTokens, timeToFirstToken);
    collect(core.returnTicket(ticket.id(), outcome, clock.nanoTime()));
  }

  List<Long> outstanding(String upstream) {
    return admitted.entrySet().stream()
        .filter(each -> each.getValue().upstream().equals(upstream))
        .map(Map.Entry::getKey)
        .toList();
  }

  boolean belongsTo(long id, String organisation) {
    return organisations.get(id).equals(organisation);
  }

  void applyRules(PoolRules rules) {
    collect(core.applyRules(rules, clock.nanoTime()));
  }

  /** Advances the clock with ticks and regular reports from the announced upstreams. */
  void advance(Duration time) {
    for (long done = 0; done < time.toMillis(); done += STEP.toMillis()) {
      clock.advance(STEP);
      collect(core.tick(clock.nanoTime()));
      reportingUpstreams.forEach(each -> report(each, outstanding(each).size()));
    }
  }

  void report(String upstream, int running) {
    Report report = new Report(upstream, "boot-1", ++lastReportSequence, running, 0, 0, 0, false);
    collect(core.reported(report, clock.nanoTime()));
  }

  void stopReporting(String upstream) {
    reportingUpstreams.remove(upstream);
  }

  RefusalReason refusalReasonOf(long id) {
    return refused.get(id).reason();
  }

  private void collect(List<PoolDecision> decisions) {
    for (PoolDecision each : decisions) {
      if (each instanceof PoolDecision.Admitted admission) {
        admitted.put(admission.requestId(), admission.ticket());
      } else if (each instanceof PoolDecision.Refused refusal) {
        refused.put(refusal.requestId(), refusal);
      }
    }
  }
}
