package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.routing.KeyHolder;
import org.cuminrack.routing.ServiceSpec;

/**
 * A request whose head passed all checks.
 *
 * @param keyHolder the organisation of the API key, if there is one
 * @param arrivedNanos when the head arrived, on the monotonic clock
 */
record AdmittedRequest(
    HttpRoute route,
    ServiceSpec service,
    RequestHead head,
    Optional<KeyHolder> keyHolder,
    long arrivedNanos) {

  /** Returns whether the request is expected to end before a planned stop of the gateway. */
  boolean endsBeforeStop(GatewayContext context) {
    long sinceArrivalNanos = context.clock().nanoTime() - arrivedNanos;
    Duration untilDeadline = head.timeLimit(route).minusNanos(sinceArrivalNanos);
    return context.stopAdmission().admits(route, untilDeadline, head.demand(), service.engine());
  }
}
