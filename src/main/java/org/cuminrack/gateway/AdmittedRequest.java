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

  /** Returns the time until the request is ended whatever its upstream does. */
  Duration untilDeadline(long nowNanos) {
    return head.timeLimit(route).minusNanos(nowNanos - arrivedNanos);
  }
}
