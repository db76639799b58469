package org.cuminrack.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.ledger.CallKey;
import org.cuminrack.ledger.CallResult;
import org.cuminrack.ledger.ClaimVerdict;
import org.cuminrack.ledger.Ledger;

/** An in-memory ledger, shared by the entries of a test. */
final class FakeLedger implements Ledger {
  private final Map<CallKey, Fingerprint> claims = new HashMap<>();
  private final Map<CallKey, CallResult> results = new HashMap<>();
  private long nextClaimId;
  private boolean reachable = true;

  synchronized void setReachable(boolean value) {
    reachable = value;
  }

  @Override
  public synchronized CompletableFuture<ClaimVerdict> claim(
      CallKey key, Fingerprint fingerprint, Duration timeout) {
    return CompletableFuture.completedFuture(decide(key, fingerprint));
  }

  private ClaimVerdict decide(CallKey key, Fingerprint fingerprint) {
    if (!reachable) {
      return new ClaimVerdict.Unavailable(Duration.ofMillis(700));
    }
    Fingerprint existing = claims.putIfAbsent(key, fingerprint);
    if (existing == null) {
      nextClaimId++;
      return new ClaimVerdict.Granted(nextClaimId);
    }
    if (!existing.equals(fingerprint)) {
      return new ClaimVerdict.KeyReused();
    }
    CallResult result = results.get(key);
    if (result == null) {
      return new ClaimVerdict.InProgress(Duration.ofMillis(300));
    }
    if (result instanceof CallResult.Done done) {
      return new ClaimVerdict.Done(done.response());
    }
    return new ClaimVerdict.Unknown();
  }

  @Override
  public synchronized CompletableFuture<Boolean> finish(
      CallKey key, long claimId, CallResult result) {
    if (!reachable) {
      return CompletableFuture.completedFuture(false);
    }
    if (result instanceof CallResult.NotRun) {
      claims.remove(key);
    } else {
      results.put(key, result);
    }
    return CompletableFuture.completedFuture(true);
  }

  synchronized CallResult result(CallKey key) {
    return results.get(key);
  }
}
