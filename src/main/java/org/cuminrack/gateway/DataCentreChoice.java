package org.cuminrack.gateway;

import java.util.List;
import java.util.Locale;

/** Why an upstream in one data centre was chosen. */
enum DataCentreChoice {
  /** It is in the gateway's data centre. */
  NEAR,
  /** It is in another one, and the expected time there is shorter by more than the crossing. */
  FAR_FASTER,
  /** It is in another one, since no upstream in the gateway's data centre accepts requests. */
  FAR_ONLY;

  static DataCentreChoice of(Candidate chosen, List<Candidate> candidates) {
    if (!chosen.isFar()) {
      return NEAR;
    }
    return candidates.stream().allMatch(Candidate::isFar) ? FAR_ONLY : FAR_FASTER;
  }

  /** Returns the name in log lines. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
