package org.cuminrack.pool;

import java.util.List;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Priority;

/**
 * A request submitted to a pool, with its predicted cost.
 *
 * @param id the id under which it was submitted
 * @param arrivedNanos arrival time
 * @param costTokens predicted tokens, prompt and output; 1 for a plain call
 * @param sequence the request in the memory forecast, before any output
 * @param prefix sampled hashes of its prompt's blocks
 */
record QueuedRequest(
    long id,
    AdmissionRequest request,
    long arrivedNanos,
    double costTokens,
    Sequence sequence,
    List<Long> prefix) {

  boolean isStandard() {
    return request.priority() == Priority.STANDARD;
  }

  FlowKey flow() {
    return new FlowKey(request.organisation(), request.priority());
  }
}
