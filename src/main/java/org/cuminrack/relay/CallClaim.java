package org.cuminrack.relay;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminrack.ledger.CallKey;
import org.cuminrack.ledger.CallResult;
import org.cuminrack.ledger.ClaimVerdict;
import org.cuminrack.log.LogEvent;

/**
 * The claim of one call in the ledger, acquired once and finished once. Confined to the exchange's
 * I/O thread.
 */
final class CallClaim {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RelayContext context;
  private final IoContext io;
  private final PlainRequest request;
  private final CallKey key;
  private long claimId;
  private boolean finishRequested;

  CallClaim(RelayContext context, IoContext io, PlainRequest request, CallKey key) {
    this.context = context;
    this.io = io;
    this.request = request;
    this.key = key;
  }

  /** Claims the call; the callback runs on the I/O thread. */
  void acquire(Duration timeout, Consumer<ClaimVerdict> callback) {
    context
        .ledger()
        .claim(key, request.fingerprint(), timeout)
        .whenComplete((verdict, failure) -> io.execute(() -> claimed(verdict, failure, callback)));
  }

  private void claimed(ClaimVerdict verdict, Throwable failure, Consumer<ClaimVerdict> callback) {
    if (failure != null) {
      callback.accept(new ClaimVerdict.Unavailable(Duration.ofSeconds(1)));
      return;
    }
    if (verdict instanceof ClaimVerdict.Granted granted) {
      claimId = granted.claimId();
    }
    callback.accept(verdict);
  }

  /**
   * Records the result of the call, then runs {@code next} once the record is durable or the wait
   * for the ledger has timed out. If the claim was finished before, records nothing and runs {@code
   * next} at once.
   */
  void finish(CallResult result, Runnable next) {
    if (finishRequested) {
      next.run();
      return;
    }
    finishRequested = true;
    context
        .ledger()
        .finish(key, claimId, result)
        .completeOnTimeout(
            false, context.bounds().ledgerTimeout().toMillis(), TimeUnit.MILLISECONDS)
        .exceptionally(failure -> false)
        .thenAccept(recorded -> io.execute(() -> resultRecorded(recorded, next)));
  }

  private void resultRecorded(boolean recorded, Runnable next) {
    if (!recorded) {
      logger.atWarning().log(
          "%s",
          LogEvent.named("call-result-not-recorded")
              .with("organisation", key.organisation())
              .with("route", key.route()));
    }
    next.run();
  }
}
