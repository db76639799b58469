package org.cuminrack.relay;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminrack.ledger.CallKey;
import org.cuminrack.ledger.CallResult;
import org.cuminrack.ledger.ClaimVerdict;
import org.cuminrack.log.LogEvent;

/** One call's claim in the ledger: made once, ended once. Lives on the exchange's I/O thread. */
final class CallClaim {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RelayContext context;
  private final IoContext io;
  private final PlainRequest request;
  private final CallKey key;
  private long claimId;
  private boolean ended;

  CallClaim(RelayContext context, IoContext io, PlainRequest request, CallKey key) {
    this.context = context;
    this.io = io;
    this.request = request;
    this.key = key;
  }

  /** Claims the call; the verdict comes on the I/O thread. */
  void ask(Duration timeout, Consumer<ClaimVerdict> verdict) {
    context
        .ledger()
        .claim(key, request.fingerprint(), timeout)
        .whenComplete((found, failure) -> io.execute(() -> answered(found, failure, verdict)));
  }

  private void answered(ClaimVerdict found, Throwable failure, Consumer<ClaimVerdict> verdict) {
    if (failure != null) {
      verdict.accept(new ClaimVerdict.Unavailable(Duration.ofSeconds(1)));
      return;
    }
    if (found instanceof ClaimVerdict.Granted granted) {
      claimId = granted.claimId();
    }
    verdict.accept(found);
  }

  /**
   * Records how the call ended, then goes on: once that is durable, or when the ledger has taken
   * too long. A second call records nothing and goes on at once.
   */
  void finish(CallResult result, Runnable next) {
    if (ended) {
      next.run();
      return;
    }
    ended = true;
    context
        .ledger()
        .finish(key, claimId, result)
        .completeOnTimeout(false, context.bounds().ledgerWait().toMillis(), TimeUnit.MILLISECONDS)
        .exceptionally(failure -> false)
        .thenAccept(durable -> io.execute(() -> finished(durable, next)));
  }

  private void finished(boolean durable, Runnable next) {
    if (!durable) {
      logger.atWarning().log(
          "%s",
          LogEvent.named("call-result-not-recorded")
              .with("organisation", key.organisation())
              .with("route", key.route()));
    }
    next.run();
  }
}
