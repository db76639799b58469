package org.cuminrack.load;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.standin.GenerationRequest;

/** One try of a request in an experiment. */
final class Attempt {
  private final RequestRecord record;
  private final int number;
  private final Set<String> excluded;
  private Ticket ticket;
  private boolean finished;

  private Attempt(RequestRecord record, int number, Set<String> excluded) {
    this.record = record;
    this.number = number;
    this.excluded = excluded;
  }

  static Attempt first(RequestRecord record) {
    return new Attempt(record, 1, Set.of());
  }

  /** Returns the next try, which leaves out the upstream that failed this one. */
  Attempt next(String failedUpstream) {
    Set<String> both = new HashSet<>(excluded);
    both.add(failedUpstream);
    return new Attempt(record, number + 1, both);
  }

  RequestRecord record() {
    return record;
  }

  Ticket ticket() {
    return ticket;
  }

  void admitted(Ticket by) {
    ticket = by;
  }

  /** Returns how the request ends if this try is refused: a later one already ran once. */
  RequestEnd endOnRefusal() {
    return number == 1 ? RequestEnd.REFUSED : RequestEnd.LOST;
  }

  /** Returns an id that no other try has. */
  String generationId() {
    return ticket.pool() + "-" + ticket.id();
  }

  AdmissionRequest admission(long nowNanos) {
    PlannedRequest request = record.request();
    TrafficClass trafficClass = request.trafficClass();
    return new AdmissionRequest(
        trafficClass.route(),
        request.organisation(),
        new Fingerprint(Integer.toHexString(request.number())),
        request.promptTokens(),
        request.blockHashes(),
        trafficClass.outputs().maxTokens(),
        trafficClass.priority(),
        number,
        trafficClass.timeout().minusNanos(nowNanos - request.atNanos()),
        excluded);
  }

  GenerationRequest generation() {
    PlannedRequest request = record.request();
    return new GenerationRequest(
        generationId(),
        request.promptTokens(),
        request.blockHashes(),
        request.outputTokens(),
        false,
        request.trafficClass().priority());
  }

  /** Gives the ticket back, once. */
  TicketOutcome finish(TicketOutcome.Result result) {
    if (finished) {
      throw new IllegalStateException("a ticket was given back twice: " + ticket);
    }
    finished = true;
    Duration firstTokenAfter = Duration.ZERO;
    if (record.hasFirstToken()) {
      long firstTokenNanos = record.request().atNanos() + record.firstTokenAfterNanos();
      firstTokenAfter = Duration.ofNanos(firstTokenNanos - record.dispatchNanos());
    }
    return new TicketOutcome(result, record.tokens(), firstTokenAfter);
  }
}
