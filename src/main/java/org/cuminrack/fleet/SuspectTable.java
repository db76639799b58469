package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.generated.control.SuspectData;
import org.cuminrack.generated.control.SuspectUpdate;
import org.cuminrack.log.LogEvent;

/**
 * A gateway's view of the suspects: requests that were running on an upstream when it crashed, with
 * the crashes counted against each. Control's count replaces what this gateway has observed itself.
 * Thread-safe: one lock.
 */
public final class SuspectTable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<String, Integer> crashes = new HashMap<>();
  private long revision;

  /** Returns the crashes counted against a request. */
  public synchronized int crashes(Fingerprint fingerprint) {
    return crashes.getOrDefault(fingerprint.hex(), 0);
  }

  /** Returns the number of suspects. */
  public synchronized int size() {
    return crashes.size();
  }

  /** Returns the revision of the newest update applied; 0 before the first. */
  public synchronized long revision() {
    return revision;
  }

  /** Records a crash that this gateway observed, until control has counted it. */
  public synchronized void recordCrash(Fingerprint fingerprint, int knownCrashes) {
    crashes.merge(fingerprint.hex(), knownCrashes + 1, Math::max);
  }

  /** Records that a request was completed, so that it is no suspect. */
  public synchronized void clear(Fingerprint fingerprint) {
    crashes.remove(fingerprint.hex());
  }

  /** Applies an update of control, unless a newer one was applied. */
  synchronized void apply(SuspectUpdate update) {
    boolean followsOn = update.getWhole() || update.getBaseRevision() <= revision;
    if (update.getRevision() <= revision || !followsOn) {
      return;
    }
    revision = update.getRevision();
    if (update.getWhole()) {
      crashes.clear();
    }
    for (SuspectData suspect : update.getSuspectsList()) {
      if (suspect.getCrashes() == 0) {
        crashes.remove(suspect.getFingerprint());
      } else {
        crashes.put(suspect.getFingerprint(), suspect.getCrashes());
      }
    }
    logger.atInfo().log(
        "%s",
        LogEvent.named("suspects-updated")
            .with("revision", revision)
            .with("changed", update.getSuspectsCount())
            .with("suspects", crashes.size()));
  }
}
