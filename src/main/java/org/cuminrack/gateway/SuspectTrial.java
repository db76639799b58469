package org.cuminrack.gateway;

import java.util.List;
import org.cuminrack.admission.Fingerprint;

/**
 * Control's permission to send a suspended request once.
 *
 * @param suspects the suspects for which the request is suspended
 * @param grantedMillis when control granted it, by control's clock; identifies the trial
 */
record SuspectTrial(List<Fingerprint> suspects, long grantedMillis) {
  SuspectTrial {
    suspects = List.copyOf(suspects);
  }
}
