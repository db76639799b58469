package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.control.DepartureRequest;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.ControlCalls;
import org.cuminrack.member.ControlFailure;
import org.cuminrack.wire.Method;

/** Departures stored by the leader of the control VMs. */
public final class ReplicatedDepartures implements DepartureStore {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Shorter than the 1 s that upstreams wait for the acknowledgement of an announcement. */
  private static final Duration TIMEOUT = Duration.ofMillis(700);

  private final ControlCalls calls;

  public ReplicatedDepartures(ControlCalls calls) {
    this.calls = calls;
  }

  @Override
  public CompletableFuture<Boolean> store(DepartureRequest departure) {
    return calls
        .call(Method.RECORD_DEPARTURE, departure.toByteArray(), TIMEOUT)
        .thenApply(
            outcome -> outcome.peekLeft(failure -> logNotStored(departure, failure)).isRight());
  }

  private static void logNotStored(DepartureRequest departure, ControlFailure failure) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("departure-not-stored")
            .with("upstream", departure.getUpstream())
            .with("born_millis", departure.getStartedMillis())
            .with("left", departure.getLeft())
            .with("detail", failure.detail()));
  }
}
