package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.generated.control.SuspectData;
import org.cuminrack.generated.control.SuspectUpdate;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.CrashEvidence;

/**
 * A gateway's view of the suspects: requests and parts of prompts that were running on an upstream
 * when it crashed, with the crashes counted against each. Control's count replaces what this
 * gateway has observed itself. Thread-safe: one lock.
 */
public final class SuspectTable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Suspect NONE = new Suspect(0, Set.of(), Set.of());

  private final Map<Fingerprint, Suspect> suspects = new HashMap<>();
  private long revision;

  /**
   * What is known of a suspect.
   *
   * @param crashes the crashes counted against it
   * @param companions the parts that were beside it each time
   * @param crashed all upstreams that crashed while it was running
   */
  private record Suspect(int crashes, Set<Fingerprint> companions, Set<CrashedProcess> crashed) {
    Suspect without(Fingerprint companion) {
      return companions.contains(companion)
          ? new Suspect(
              crashes,
              companions.stream()
                  .filter(each -> !each.equals(companion))
                  .collect(Collectors.toSet()),
              crashed)
          : this;
    }

    Suspect withCrash(CrashedProcess process, CrashEvidence evidence) {
      return new Suspect(
          crashes + (evidence.knownCrashes() < crashes ? 0 : 1),
          companions.stream().filter(evidence.companions()::contains).collect(Collectors.toSet()),
          Stream.concat(crashed.stream(), Stream.of(process)).collect(Collectors.toSet()));
    }
  }

  /** Returns the crashes counted against a suspect. */
  public synchronized int crashes(Fingerprint fingerprint) {
    return suspects.getOrDefault(fingerprint, NONE).crashes();
  }

  /**
   * Returns how many upstreams crashed while a suspect was running, whether their crashes were
   * counted or not.
   */
  public synchronized int crashedUpstreams(Fingerprint fingerprint) {
    Suspect suspect = suspects.getOrDefault(fingerprint, NONE);
    return Math.max(suspect.crashes(), suspect.crashed().size());
  }

  /**
   * Returns the other parts that were in the prompt each time an upstream crashed under a part;
   * empty for the content of a request.
   */
  public synchronized Set<Fingerprint> companions(Fingerprint fingerprint) {
    return suspects.getOrDefault(fingerprint, NONE).companions();
  }

  /** Returns the number of suspects. */
  public synchronized int size() {
    return suspects.size();
  }

  /** Returns the revision of the newest update applied; 0 before the first. */
  public synchronized long revision() {
    return revision;
  }

  /**
   * Records a crash that this gateway observed, until control has counted it; does not count it if
   * more crashes are counted than were known when the suspect was sent.
   */
  public synchronized void recordCrash(
      Fingerprint fingerprint, CrashedProcess process, CrashEvidence evidence) {
    suspects.merge(
        fingerprint,
        new Suspect(1, evidence.companions(), Set.of(process)),
        (before, first) -> before.withCrash(process, evidence));
  }

  /** Records that a suspect was processed without a crash. */
  public synchronized void clear(Fingerprint fingerprint) {
    suspects.remove(fingerprint);
    suspects.replaceAll((key, suspect) -> suspect.without(fingerprint));
  }

  /** Applies an update of control, unless a newer one was applied. */
  synchronized void apply(SuspectUpdate update) {
    boolean followsOn = update.getWhole() || update.getBaseRevision() <= revision;
    if (update.getRevision() <= revision || !followsOn) {
      return;
    }
    revision = update.getRevision();
    if (update.getWhole()) {
      suspects.clear();
    }
    for (SuspectData suspect : update.getSuspectsList()) {
      Fingerprint fingerprint = new Fingerprint(suspect.getFingerprint());
      if (suspect.getCrashes() == 0) {
        suspects.remove(fingerprint);
      } else {
        Set<Fingerprint> companions =
            suspect.getCompanionsList().stream().map(Fingerprint::new).collect(Collectors.toSet());
        Set<CrashedProcess> crashed =
            suspect.getCrashedList().stream()
                .map(each -> new CrashedProcess(each.getUpstream(), each.getBootId()))
                .collect(Collectors.toSet());
        suspects.put(fingerprint, new Suspect(suspect.getCrashes(), companions, crashed));
      }
    }
    logger.atInfo().log(
        "%s",
        LogEvent.named("suspects-updated")
            .with("revision", revision)
            .with("changed", update.getSuspectsCount())
            .with("suspects", suspects.size()));
  }
}
