package org.cuminrack.pool;

import java.util.List;
import org.cuminrack.admission.AdmissionRequest;

/**
 * What an owner that has stopped knows of a pool, for the next one.
 *
 * @param epoch the view's epoch under which the sender is no longer the owner
 */
record PoolHandOver(
    PoolKey pool,
    long epoch,
    List<UpstreamPart> upstreams,
    List<TicketPart> tickets,
    List<LengthsPart> lengths) {

  /**
   * An upstream.
   *
   * @param limit the concurrency limit that it had reached
   * @param inherited requests of former owners that still run
   * @param inheritedUnknown whether their number is not known
   */
  record UpstreamPart(
      Announcement announcement,
      double limit,
      boolean leaving,
      int inherited,
      boolean inheritedUnknown) {}

  /**
   * A ticket that is out.
   *
   * @param requestKey the request that holds it
   * @param request what it is for
   */
  record TicketPart(
      long ticketId,
      long epoch,
      RequestKey requestKey,
      String upstream,
      String bootId,
      boolean alone,
      long ageNanos,
      AdmissionRequest request) {}

  /** Samples of output lengths, by bucket. */
  @SuppressWarnings("ArrayRecordComponent")
  record LengthsPart(FlowKey flow, double[] counts) {}
}
