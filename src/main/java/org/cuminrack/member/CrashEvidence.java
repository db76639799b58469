package org.cuminrack.member;

import java.util.Set;
import java.util.stream.Collectors;
import org.cuminrack.admission.Fingerprint;

/**
 * What is known of a request, or a part of its prompt, that runs on an upstream, in case the
 * upstream crashes.
 *
 * @param knownCrashes the crashes known to be counted against it when it was sent; {@link
 *     CrashReports#COUNT_ALWAYS} if the next one counts in any case
 * @param companions of a prompt part, the other parts of the prompt: any of them may be the cause
 *     as well; empty for a whole request
 */
public record CrashEvidence(int knownCrashes, Set<Fingerprint> companions) {

  public CrashEvidence {
    companions = Set.copyOf(companions);
  }

  /** Returns the evidence of a whole request. */
  public static CrashEvidence ofRequest(int knownCrashes) {
    return new CrashEvidence(knownCrashes, Set.of());
  }

  /** Returns the evidence of two runs at the same time. */
  public CrashEvidence plus(CrashEvidence other) {
    return new CrashEvidence(
        Math.min(knownCrashes, other.knownCrashes),
        companions.stream().filter(other.companions::contains).collect(Collectors.toSet()));
  }
}
