package org.cuminrack.relay;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.CrashReports;

/**
 * What this entry has running on each life of each upstream, so that a death can be told with the
 * requests that may have caused it. Safe for use by many threads; one lock a life, held only to
 * change or copy its list.
 */
final class RunningRequests {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConcurrentMap<EngineTarget, List<Fingerprint>> running = new ConcurrentHashMap<>();
  private final CrashReports crashReports;
  private final RelayBounds bounds;

  RunningRequests(CrashReports crashReports, RelayBounds bounds) {
    this.crashReports = crashReports;
    this.bounds = bounds;
  }

  void add(EngineTarget target, Fingerprint fingerprint) {
    running.compute(target, (key, list) -> with(list, fingerprint));
  }

  void remove(EngineTarget target, Fingerprint fingerprint) {
    running.computeIfPresent(target, (key, list) -> without(list, fingerprint));
  }

  private static List<Fingerprint> with(List<Fingerprint> list, Fingerprint fingerprint) {
    List<Fingerprint> changed = list == null ? new ArrayList<>() : new ArrayList<>(list);
    changed.add(fingerprint);
    return changed;
  }

  private static List<Fingerprint> without(List<Fingerprint> list, Fingerprint fingerprint) {
    List<Fingerprint> changed = new ArrayList<>(list);
    changed.remove(fingerprint);
    return changed.isEmpty() ? null : changed;
  }

  /**
   * Reports that a life of an upstream has ended, with everything this entry has running on it.
   * Each request that sees the death reports it; the same report a second time counts nothing.
   *
   * @return true once every entry with a lease knows; false if that can't be said in time
   */
  CompletableFuture<Boolean> died(EngineTarget target, Fingerprint witness) {
    List<Fingerprint> suspects = new ArrayList<>(running.getOrDefault(target, List.of()));
    if (!suspects.contains(witness)) {
      suspects.add(witness);
    }
    logger.atWarning().log(
        "%s",
        LogEvent.named("upstream-died")
            .with("upstream", target.upstream())
            .with("boot_id", target.bootId())
            .with("running", suspects.size()));
    return crashReports
        .reportCrash(target.upstream(), target.bootId(), suspects, bounds.crashReport())
        .exceptionally(failure -> false);
  }
}
