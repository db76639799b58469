package org.cuminrack.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cuminrack.pace.StatedLoad;

/**
 * Facts read from the head of an upstream's response.
 *
 * @param matchesRequest whether the response belongs to the request that was sent
 * @param notExecuted whether the upstream states that it has not run the request and will not
 * @param misdirected whether the request reached another upstream than the intended one
 * @param requestsPerSecond the rate of requests that the upstream accepts from all gateways
 *     together, empty if it names none; an error text if it names one that is invalid
 * @param leaving whether the upstream states that it leaves
 * @param pause how long the upstream, which has turned the request away, wants no request from this
 *     gateway; empty if it names no time; an error text if it names one that is invalid
 * @param load the load that the upstream states; empty if it states none; an error text if it
 *     states one that is invalid
 */
public record ResponseHead(
    boolean matchesRequest,
    boolean notExecuted,
    boolean misdirected,
    Either<String, OptionalDouble> requestsPerSecond,
    boolean leaving,
    Either<String, Optional<Duration>> pause,
    Either<String, Optional<StatedLoad>> load) {}
