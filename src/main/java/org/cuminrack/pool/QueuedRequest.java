package org.cuminrack.pool;

import java.util.List;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Priority;

/**
 * A request that asks for an upstream.
 *
 * @param id the id that it was submitted with
 * @param arrivedNanos when
 * @param costTokens predicted tokens, prompt and output; 1 for a plain call
 * @param sequence its growth in memory, nothing produced yet
 * @param prefix a sample of the hashes of its prompt's blocks
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
