package org.cuminrack.pool;

import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Priority;

/**
 * A request that asks for an upstream.
 *
 * @param id the id that it was submitted with
 * @param arrivedNanos when
 * @param costTokens predicted tokens, prompt and output; 1 for a plain call
 * @param sequence its growth in memory, nothing produced yet
 */
record QueuedRequest(
    long id, AdmissionRequest request, long arrivedNanos, double costTokens, Sequence sequence) {

  boolean isStandard() {
    return request.priority() == Priority.STANDARD;
  }

  FlowKey flow() {
    return new FlowKey(request.organisation(), request.priority());
  }
}
