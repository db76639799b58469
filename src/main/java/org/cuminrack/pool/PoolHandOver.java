package org.cuminrack.pool;

import java.util.List;
import org.cuminrack.admission.AdmissionRequest;

/**
 * The state of a pool that an owner hands over to the next one.
 *
 * @param epoch epoch of the view under which the sender released the pool
 * @param outputLengths output lengths observed in the pool
 */
record PoolHandOver(
    PoolKey pool,
    long epoch,
    List<UpstreamPart> upstreams,
    List<TicketPart> tickets,
    List<OutputLengthsPart> outputLengths) {

  /**
   * The state of an upstream.
   *
   * @param limit the concurrency limit that it had reached
   * @param inheritedRequests number of requests of former owners that still run
   * @param inheritedRequestsUnknown true if that number is unknown
   */
  record UpstreamPart(
      Announcement announcement,
      double limit,
      boolean leaving,
      int inheritedRequests,
      boolean inheritedRequestsUnknown) {}

  /**
   * An outstanding ticket.
   *
   * @param requestKey identifies the request across the cluster
   * @param ageNanos time since the request was admitted
   * @param request the admitted request
   */
  record TicketPart(
      long ticketId,
      long epoch,
      RequestKey requestKey,
      String upstream,
      String bootId,
      boolean exclusive,
      long ageNanos,
      AdmissionRequest request) {}

  /**
   * Output lengths of a flow.
   *
   * @param counts number of samples in each bucket of {@link LengthHistogram}
   */
  @SuppressWarnings("ArrayRecordComponent")
  record OutputLengthsPart(FlowKey flow, double[] counts) {}
}
