package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.member.CrashEvidence;
import org.cuminrack.member.CrashReports;

/** Acknowledges each report and keeps none. */
final class IgnoredCrashReports implements CrashReports {
  @Override
  public CompletableFuture<Boolean> reportCrash(
      String upstream, String bootId, Map<Fingerprint, CrashEvidence> running, Duration timeout) {
    return CompletableFuture.completedFuture(true);
  }

  @Override
  public void clear(Fingerprint fingerprint) {}
}
