package org.cuminrack.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminrack.admission.Admission;
import org.cuminrack.admission.AdmissionOutcome;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;

/**
 * Admits requests to the first upstream that the request does not exclude, unless a test sets
 * {@code refusalReason} or {@code queueAll}. Refuses requests that crashed two upstream processes,
 * and gives exclusive tickets to those that crashed one.
 */
final class FakeAdmission implements Admission {
  private final List<UpstreamProcess> upstreams = new CopyOnWriteArrayList<>();
  private final AtomicLong nextId = new AtomicLong();
  private final FakeCrashReports crashReports;
  final List<AdmissionRequest> requests = new CopyOnWriteArrayList<>();
  final List<TicketOutcome> outcomes = new CopyOnWriteArrayList<>();
  final List<CompletableFuture<AdmissionOutcome>> pending = new CopyOnWriteArrayList<>();
  volatile RefusalReason refusalReason;
  volatile boolean queueAll;

  FakeAdmission(FakeCrashReports crashReports) {
    this.crashReports = crashReports;
  }

  void setUpstreams(ScriptedUpstream... scriptedUpstreams) {
    upstreams.clear();
    for (ScriptedUpstream upstream : scriptedUpstreams) {
      upstreams.add(new UpstreamProcess(upstream.name(), upstream.address(), upstream.bootId()));
    }
  }

  /** Replaces all upstreams with one that is reached at another address. */
  void setUpstreamAt(ScriptedUpstream upstream, String address) {
    upstreams.clear();
    addUpstreamAt(upstream, address);
  }

  /** Adds an upstream that is reached at the given address. */
  void addUpstreamAt(ScriptedUpstream upstream, String address) {
    upstreams.add(new UpstreamProcess(upstream.name(), address, upstream.bootId()));
  }

  @Override
  public CompletableFuture<AdmissionOutcome> admit(AdmissionRequest request) {
    requests.add(request);
    if (queueAll) {
      CompletableFuture<AdmissionOutcome> outcome = new CompletableFuture<>();
      pending.add(outcome);
      return outcome;
    }
    return CompletableFuture.completedFuture(decide(request));
  }

  private AdmissionOutcome decide(AdmissionRequest request) {
    if (refusalReason != null) {
      return new AdmissionOutcome.Refused(refusalReason, Duration.ofMillis(1200));
    }
    int crashes = crashReports.crashCount(request.fingerprint());
    if (crashes >= 2) {
      return new AdmissionOutcome.Refused(RefusalReason.POISON, Duration.ZERO);
    }
    List<UpstreamProcess> candidates = new ArrayList<>(upstreams);
    candidates.removeIf(candidate -> request.excludedUpstreams().contains(candidate.upstream()));
    if (candidates.isEmpty()) {
      return new AdmissionOutcome.Refused(RefusalReason.NO_UPSTREAM, Duration.ofSeconds(1));
    }
    return new AdmissionOutcome.Admitted(ticket(candidates.get(0), crashes > 0));
  }

  private Ticket ticket(UpstreamProcess target, boolean exclusive) {
    return new Ticket(
        nextId.incrementAndGet(),
        "pool-1",
        1,
        target.upstream(),
        target.bootId(),
        target.address(),
        Long.MAX_VALUE / 2, // never expires; half, so that differences of times do not overflow
        exclusive);
  }

  @Override
  public void returnTicket(Ticket ticket, TicketOutcome outcome) {
    outcomes.add(outcome);
  }

  List<TicketOutcome.Result> results() {
    return outcomes.stream().map(TicketOutcome::result).toList();
  }
}
