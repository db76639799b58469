package org.cuminrack.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cuminrack.generated.control.CrashData;
import org.cuminrack.generated.control.CrashRequest;
import org.cuminrack.generated.control.SuspicionData;
import org.cuminrack.generated.control.TrialRequest;
import org.cuminrack.generated.control.TrialResult;

/**
 * Requests and parts of prompts that were running on an upstream when it crashed, with the crashes
 * (upstream and boot id) counted against each, and those that may share a cause with a counted one
 * and are not. A part also has its companions: the other parts that were in the prompt each time,
 * any of which may be the cause. Not thread-safe.
 */
final class SuspectState {
  /** The most suspects at one time; the oldest suspicion is evicted. */
  static final int MAX_SUSPECTS = 10_000;

  /** The most crashes kept of one suspect, counted ones and others each. */
  static final int MAX_CRASHES = 8;

  /** Crashes after which gateways suspend a request, whether they are counted or not. */
  private static final int SUSPENDING_CRASHES = 3;

  /** How long a suspicion lasts after its last crash. */
  static final Duration RETENTION = Duration.ofHours(1);

  /** Wait from the last crash or trial of a request to its next trial, by the trials so far. */
  private static final List<Duration> TRIAL_DELAYS =
      List.of(Duration.ofSeconds(10), Duration.ofMinutes(1), Duration.ofMinutes(6));

  /**
   * The same for a request that is suspended although its crashes count as one: the upstreams may
   * have crashed at once for a cause of their own.
   */
  private static final List<Duration> UNPROVEN_TRIAL_DELAYS =
      List.of(Duration.ZERO, Duration.ofSeconds(10), Duration.ofMinutes(1));

  // Ordered by the time of the last crash or trial, the oldest first.
  private final Map<String, SuspicionData> suspicions = new LinkedHashMap<>();

  /**
   * Counts a crash against each suspect, unless more crashes are counted than were known when it
   * was sent; returns the fingerprints of all changed suspicions.
   */
  List<String> report(CrashRequest request, long timeMillis) {
    CrashData crash =
        CrashData.newBuilder()
            .setUpstream(request.getUpstream())
            .setBootId(request.getBootId())
            .build();
    List<String> changed = new ArrayList<>();
    for (int i = 0; i < request.getFingerprintsCount(); i++) {
      String fingerprint = request.getFingerprints(i);
      boolean mayShareACause =
          i < request.getKnownCrashesCount() && request.getKnownCrashes(i) < crashes(fingerprint);
      Set<String> companions =
          i < request.getCompanionsCount()
              ? Set.copyOf(request.getCompanions(i).getFingerprintsList())
              : Set.of();
      boolean added =
          mayShareACause
              ? addUncountedCrash(fingerprint, crash)
              : addCrash(fingerprint, crash, companions, timeMillis);
      if (retainCompanions(fingerprint, companions) || added) {
        changed.add(fingerprint);
      }
    }
    while (suspicions.size() > MAX_SUSPECTS) {
      changed.add(removeOldest());
    }
    return changed;
  }

  /**
   * Permits a request to run once more if the last crash or trial of each of its suspects is long
   * enough ago. Each trial makes the wait for the next one longer; after the last one, the
   * suspicion has to expire. A trial that was not run may be given back, and does not count then.
   */
  TrialResult tryAgain(TrialRequest request, long timeMillis) {
    List<SuspicionData> suspects =
        Stream.concat(Stream.of(request.getFingerprint()), request.getOthersList().stream())
            .distinct()
            .map(suspicions::get)
            .filter(Objects::nonNull)
            .toList();
    if (request.getGivenBack()) {
      suspects.forEach(each -> takeBackTrial(each, request.getTrialId()));
      return TrialResult.getDefaultInstance();
    }
    if (wasGranted(request.getTrialId(), suspects)) {
      return TrialResult.newBuilder().setGranted(true).build();
    }
    long waitMillis =
        suspects.stream().mapToLong(each -> trialDueMillis(each) - timeMillis).max().orElse(0);
    if (waitMillis > 0) {
      return TrialResult.newBuilder().setWaitMillis(waitMillis).build();
    }
    for (SuspicionData suspicion : suspects) {
      putLast(
          suspicion.toBuilder()
              .setTrials(suspicion.getTrials() + 1)
              .setSinceMillis(timeMillis)
              .setTrialId(request.getTrialId())
              .build());
    }
    return TrialResult.newBuilder().setGranted(true).build();
  }

  /** Returns whether a command is repeated whose trial was granted. */
  private static boolean wasGranted(String trialId, List<SuspicionData> suspects) {
    return !trialId.isEmpty()
        && suspects.stream().anyMatch(each -> each.getTrialId().equals(trialId));
  }

  /** Takes the last trial off the count, once; a command may be repeated. */
  private void takeBackTrial(SuspicionData suspicion, String trialId) {
    if (!trialId.isEmpty() && suspicion.getTrialId().equals(trialId)) {
      suspicions.replace(
          suspicion.getFingerprint(),
          suspicion.toBuilder().setTrials(suspicion.getTrials() - 1).clearTrialId().build());
    }
  }

  private static long trialDueMillis(SuspicionData suspicion) {
    boolean unproven =
        suspicion.getCrashesCount() == 1 && crashed(suspicion).size() >= SUSPENDING_CRASHES;
    List<Duration> delays = unproven ? UNPROVEN_TRIAL_DELAYS : TRIAL_DELAYS;
    Duration delay =
        suspicion.getTrials() < delays.size() ? delays.get(suspicion.getTrials()) : RETENTION;
    return suspicion.getSinceMillis() + delay.toMillis();
  }

  private static List<CrashData> crashed(SuspicionData suspicion) {
    return Stream.concat(
            suspicion.getCrashesList().stream(), suspicion.getUncountedCrashesList().stream())
        .distinct()
        .toList();
  }

  /**
   * Clears a suspicion; returns the fingerprints of all changed ones, since what is cleared is no
   * companion of other parts any more.
   */
  List<String> clear(String fingerprint) {
    List<String> changed = new ArrayList<>();
    if (suspicions.remove(fingerprint) != null) {
      changed.add(fingerprint);
    }
    suspicions.replaceAll(
        (key, suspicion) -> {
          if (!suspicion.getCompanionsList().contains(fingerprint)) {
            return suspicion;
          }
          changed.add(key);
          return withCompanions(suspicion, each -> !each.equals(fingerprint));
        });
    return changed;
  }

  /** Removes expired suspicions and returns their fingerprints. */
  List<String> expire(long timeMillis) {
    List<String> expired = new ArrayList<>();
    while (hasExpired(timeMillis)) {
      expired.add(removeOldest());
    }
    return expired;
  }

  boolean hasExpired(long timeMillis) {
    Iterator<SuspicionData> oldest = suspicions.values().iterator();
    return oldest.hasNext() && oldest.next().getSinceMillis() + RETENTION.toMillis() <= timeMillis;
  }

  /** Returns the number of crashes counted against a suspect. */
  int crashes(String fingerprint) {
    SuspicionData suspicion = suspicions.get(fingerprint);
    return suspicion == null ? 0 : suspicion.getCrashesCount();
  }

  /** Returns all crashes under a suspect, the counted ones first. */
  List<CrashData> crashed(String fingerprint) {
    SuspicionData suspicion = suspicions.get(fingerprint);
    return suspicion == null ? List.of() : crashed(suspicion);
  }

  /** Returns the companions of a suspect; empty if it has none or is no suspect. */
  List<String> companions(String fingerprint) {
    SuspicionData suspicion = suspicions.get(fingerprint);
    return suspicion == null ? List.of() : suspicion.getCompanionsList();
  }

  /** Returns all suspicions, oldest first. */
  Collection<SuspicionData> all() {
    return suspicions.values();
  }

  /** Replaces all suspicions with those of a snapshot. */
  void restore(List<SuspicionData> restored) {
    suspicions.clear();
    restored.forEach(suspicion -> suspicions.put(suspicion.getFingerprint(), suspicion));
  }

  private boolean addCrash(
      String fingerprint, CrashData crash, Set<String> companions, long timeMillis) {
    SuspicionData existing = suspicions.get(fingerprint);
    SuspicionData.Builder suspicion =
        existing == null
            ? SuspicionData.newBuilder().setFingerprint(fingerprint).addAllCompanions(companions)
            : existing.toBuilder();
    boolean alreadyCounted = suspicion.getCrashesList().contains(crash);
    if (alreadyCounted || suspicion.getCrashesCount() >= MAX_CRASHES) {
      return false;
    }
    putLast(suspicion.addCrashes(crash).setSinceMillis(timeMillis).build());
    return true;
  }

  /** Records a crash of a suspect that has others; returns whether it was new. */
  private boolean addUncountedCrash(String fingerprint, CrashData crash) {
    SuspicionData suspicion = suspicions.get(fingerprint);
    if (crashed(suspicion).contains(crash) || suspicion.getUncountedCrashesCount() >= MAX_CRASHES) {
      return false;
    }
    suspicions.put(fingerprint, suspicion.toBuilder().addUncountedCrashes(crash).build());
    return true;
  }

  /**
   * Keeps the companions that were beside a suspect this time too; returns whether any were not.
   */
  private boolean retainCompanions(String fingerprint, Set<String> companions) {
    SuspicionData suspicion = suspicions.get(fingerprint);
    if (suspicion == null || companions.containsAll(suspicion.getCompanionsList())) {
      return false;
    }
    suspicions.put(fingerprint, withCompanions(suspicion, companions::contains));
    return true;
  }

  private static SuspicionData withCompanions(SuspicionData suspicion, Predicate<String> retained) {
    return suspicion.toBuilder()
        .clearCompanions()
        .addAllCompanions(suspicion.getCompanionsList().stream().filter(retained).toList())
        .build();
  }

  private void putLast(SuspicionData suspicion) {
    suspicions.remove(suspicion.getFingerprint());
    suspicions.put(suspicion.getFingerprint(), suspicion);
  }

  private String removeOldest() {
    Iterator<String> oldest = suspicions.keySet().iterator();
    String fingerprint = oldest.next();
    oldest.remove();
    return fingerprint;
  }
}
