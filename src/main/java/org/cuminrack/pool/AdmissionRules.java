package org.cuminrack.pool;

import java.util.Optional;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.RefusalReason;

/** Refuses requests for reasons other than load. */
final class AdmissionRules {
  private final PoolContext context;
  private final UpstreamTable upstreams;
  private final RetryBudget retryBudget = new RetryBudget();

  AdmissionRules(PoolContext context, UpstreamTable upstreams) {
    this.context = context;
    this.upstreams = upstreams;
  }

  /**
   * Returns the reason to refuse a request at once, if any; otherwise counts it in the retry
   * budget.
   */
  Optional<RefusalReason> refusalReason(QueuedRequest queued, boolean admitting) {
    if (!admitting) {
      return Optional.of(RefusalReason.OWNER_MOVING);
    }
    AdmissionRequest request = queued.request();
    if (context.rules().crashesOf(request.fingerprint().hex()) >= AdmissionQueue.POISON_CRASHES) {
      return Optional.of(RefusalReason.POISON);
    }
    if (upstreams.candidates(queued).isEmpty()) {
      return Optional.of(RefusalReason.NO_UPSTREAM);
    }
    boolean limitsRetries = context.uses(Mechanism.RETRY_BUDGET);
    if (limitsRetries && !retryBudget.tryAcquire(request.attempt())) {
      return Optional.of(RefusalReason.RETRY_BUDGET);
    }
    return Optional.empty();
  }
}
