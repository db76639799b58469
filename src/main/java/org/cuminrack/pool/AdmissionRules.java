package org.cuminrack.pool;

import java.util.Optional;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.RefusalReason;

/** What is refused whatever the load is. */
final class AdmissionRules {
  private final PoolContext context;
  private final UpstreamTable upstreams;
  private final RetryBudget retryBudget = new RetryBudget();

  AdmissionRules(PoolContext context, UpstreamTable upstreams) {
    this.context = context;
    this.upstreams = upstreams;
  }

  /** Returns why a request is refused at once; counts it into the retry budget where it isn't. */
  Optional<RefusalReason> refusal(QueuedRequest queued, boolean admitting) {
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
    boolean counted = context.uses(Mechanism.RETRY_BUDGET);
    if (counted && !retryBudget.allows(request.attempt())) {
      return Optional.of(RefusalReason.RETRY_BUDGET);
    }
    return Optional.empty();
  }
}
