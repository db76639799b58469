package org.cuminrack.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.member.CrashEvidence;
import org.cuminrack.member.CrashReports;

/**
 * Stores crash reports in memory. Counts as control does: not if more crashes are counted than were
 * known.
 */
final class FakeCrashReports implements CrashReports {
  private final Map<Fingerprint, Set<String>> crashedProcesses = new ConcurrentHashMap<>();
  final List<Fingerprint> cleared = new CopyOnWriteArrayList<>();
  final AtomicInteger reportCount = new AtomicInteger();
  volatile boolean reachable = true;

  @Override
  public CompletableFuture<Boolean> reportCrash(
      String upstream, String bootId, Map<Fingerprint, CrashEvidence> running, Duration timeout) {
    reportCount.incrementAndGet();
    if (!reachable) {
      return CompletableFuture.completedFuture(false);
    }
    running.forEach(
        (fingerprint, evidence) -> count(fingerprint, upstream + bootId, evidence.knownCrashes()));
    return CompletableFuture.completedFuture(true);
  }

  private synchronized void count(Fingerprint fingerprint, String process, int knownCrashes) {
    if (knownCrashes >= crashCount(fingerprint)) {
      crashedProcesses
          .computeIfAbsent(fingerprint, key -> ConcurrentHashMap.newKeySet())
          .add(process);
    }
  }

  @Override
  public void clear(Fingerprint fingerprint) {
    cleared.add(fingerprint);
    crashedProcesses.remove(fingerprint);
  }

  int crashCount(Fingerprint fingerprint) {
    return crashedProcesses.getOrDefault(fingerprint, new HashSet<>()).size();
  }

  int suspectCount() {
    return crashedProcesses.size();
  }
}
