package org.cuminrack.load;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.standin.GenerationRequest;

/** One attempt to run a request in a simulation. */
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

  /** Returns the next attempt, which excludes the upstream that failed this one. */
  Attempt next(String failedUpstream) {
    Set<String> nextExcluded = new HashSet<>(excluded);
    nextExcluded.add(failedUpstream);
    return new Attempt(record, number + 1, nextExcluded);
  }

  RequestRecord record() {
    return record;
  }

  Ticket ticket() {
    return ticket;
  }

  void setTicket(Ticket newTicket) {
    ticket = newTicket;
  }

  /**
   * Returns the request's outcome if this attempt is refused: a retry counts as lost, since an
   * earlier attempt was admitted.
   */
  RequestOutcome outcomeOnRefusal() {
    return number == 1 ? RequestOutcome.REFUSED : RequestOutcome.LOST;
  }

  /** Returns an id that is unique among attempts. */
  String generationId() {
    return ticket.pool() + "-" + ticket.id();
  }

  AdmissionRequest admissionRequest(long nowNanos) {
    PlannedRequest request = record.request();
    TrafficClass trafficClass = request.trafficClass();
    return new AdmissionRequest(
        trafficClass.route(),
        request.organisation(),
        new Fingerprint(Integer.toHexString(request.number())),
        request.promptTokens(),
        request.blockHashes(),
        trafficClass.outputLengths().maxTokens(),
        trafficClass.priority(),
        number,
        trafficClass.timeout().minusNanos(nowNanos - request.arrivalNanos()),
        excluded);
  }

  GenerationRequest generationRequest() {
    PlannedRequest request = record.request();
    return new GenerationRequest(
        generationId(),
        request.promptTokens(),
        request.blockHashes(),
        request.outputTokens(),
        false,
        request.trafficClass().priority());
  }

  /** Ends the attempt and returns the outcome to report for its ticket; call only once. */
  TicketOutcome finish(TicketOutcome.Result result) {
    if (finished) {
      throw new IllegalStateException("ticket was already returned: " + ticket);
    }
    finished = true;
    Duration timeToFirstToken = Duration.ZERO;
    if (record.hasFirstToken()) {
      long firstTokenNanos = record.request().arrivalNanos() + record.timeToFirstTokenNanos();
      timeToFirstToken = Duration.ofNanos(firstTokenNanos - record.dispatchNanos());
    }
    return new TicketOutcome(result, record.tokens(), timeToFirstToken);
  }
}
