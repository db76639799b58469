package org.cuminrack.relay;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.CrashReports;

/**
 * What this entry has running on each life of each upstream, so that a death can be told with the
 * requests that may have caused it. Safe for use by many threads; a life is changed only under its
 * key's lock, which is never held while a report is under way.
 */
final class RunningRequests {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConcurrentMap<EngineTarget, Life> lives = new ConcurrentHashMap<>();
  private final CrashReports crashReports;
  private final RelayBounds bounds;

  RunningRequests(CrashReports crashReports, RelayBounds bounds) {
    this.crashReports = crashReports;
    this.bounds = bounds;
  }

  /** One life of an upstream: how often each request runs there, and the report of its death. */
  private static final class Life {
    private final Map<Fingerprint, Integer> running = new ConcurrentHashMap<>();
    private Set<Fingerprint> reported = Set.of();
    private volatile CompletableFuture<Boolean> report = CompletableFuture.completedFuture(false);

    /** Tells whether a report that did not fail covers this request. */
    private boolean covers(Fingerprint fingerprint) {
      return reported.contains(fingerprint) && report.getNow(true);
    }
  }

  void add(EngineTarget target, Fingerprint fingerprint) {
    lives.compute(
        target,
        (key, known) -> {
          Life life = known == null ? new Life() : known;
          life.running.merge(fingerprint, 1, Integer::sum);
          return life;
        });
  }

  void remove(EngineTarget target, Fingerprint fingerprint) {
    lives.computeIfPresent(
        target,
        (key, life) -> {
          life.running.computeIfPresent(
              fingerprint, (same, count) -> count == 1 ? null : count - 1);
          return life.running.isEmpty() ? null : life;
        });
  }

  /**
   * Settles what a loss means for what ran there: a death is reported, any other loss accuses
   * nobody.
   *
   * @return true once it is safe to run the request again; false where a death can't be made known
   */
  CompletableFuture<Boolean> settle(EngineLoss loss, EngineTarget target, Fingerprint witness) {
    return loss == EngineLoss.PROCESS_DIED
        ? died(target, witness)
        : CompletableFuture.completedFuture(true);
  }

  /**
   * Reports that a life of an upstream has ended, with everything this entry has running on it. The
   * requests that see the same death share one report.
   *
   * @return true once every entry with a lease knows; false if that can't be said in time
   */
  CompletableFuture<Boolean> died(EngineTarget target, Fingerprint witness) {
    CompletableFuture<Boolean> report = new CompletableFuture<>();
    Set<Fingerprint> suspects = new HashSet<>();
    Life life = lives.compute(target, (key, known) -> begin(known, witness, suspects, report));
    if (!suspects.isEmpty()) {
      send(target, suspects, report);
    }
    return life.report;
  }

  private static Life begin(
      Life known,
      Fingerprint witness,
      Set<Fingerprint> suspects,
      CompletableFuture<Boolean> report) {
    Life life = known == null ? new Life() : known;
    if (!life.covers(witness)) {
      suspects.addAll(life.running.keySet());
      suspects.add(witness);
      life.reported = Set.copyOf(suspects);
      life.report = report;
    }
    return life;
  }

  private void send(
      EngineTarget target, Set<Fingerprint> suspects, CompletableFuture<Boolean> report) {
    logger.atWarning().log(
        "%s",
        LogEvent.named("upstream-died")
            .with("upstream", target.upstream())
            .with("boot_id", target.bootId())
            .with("running", suspects.size()));
    crashReports
        .reportCrash(target.upstream(), target.bootId(), suspects, bounds.crashReport())
        .exceptionally(failure -> false)
        .thenAccept(known -> reported(target, report, known));
  }

  private void reported(EngineTarget target, CompletableFuture<Boolean> report, boolean known) {
    report.complete(known);
    lives.computeIfPresent(target, (key, life) -> life.running.isEmpty() ? null : life);
  }
}
