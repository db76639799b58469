package org.cuminrack.gateway;

import java.util.List;
import java.util.UUID;
import org.cuminrack.admission.Fingerprint;

/**
 * A trial: a suspended request may be sent once, if control grants it.
 *
 * @param id identifies the trial at control
 * @param suspects the suspects for which the request is suspended
 */
record SuspectTrial(String id, List<Fingerprint> suspects) {
  SuspectTrial {
    suspects = List.copyOf(suspects);
  }

  /** Returns a trial with a new id. */
  static SuspectTrial of(List<Fingerprint> suspects) {
    return new SuspectTrial(UUID.randomUUID().toString(), suspects);
  }
}
