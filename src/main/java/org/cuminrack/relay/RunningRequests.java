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
 * Tracks which requests of this entry run on each upstream process, so that a crash report can name
 * the requests that may have caused the crash. Thread-safe: the state of a process is changed only
 * under the lock of its map key, which is never held during a report.
 */
final class RunningRequests {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConcurrentMap<UpstreamProcess, ProcessRequests> processes =
      new ConcurrentHashMap<>();
  private final CrashReports crashReports;
  private final RelayBounds bounds;

  RunningRequests(CrashReports crashReports, RelayBounds bounds) {
    this.crashReports = crashReports;
    this.bounds = bounds;
  }

  /** The requests that run on one upstream process, and the report of its crash. */
  private static final class ProcessRequests {
    private final Map<Fingerprint, Integer> running = new ConcurrentHashMap<>();
    private Set<Fingerprint> reportedRequests = Set.of();
    private volatile CompletableFuture<Boolean> report = CompletableFuture.completedFuture(false);

    /** Returns whether a report that has not failed names the request. */
    private boolean covers(Fingerprint fingerprint) {
      return reportedRequests.contains(fingerprint) && report.getNow(true);
    }
  }

  /** Registers a request that runs on the process. */
  void add(UpstreamProcess target, Fingerprint fingerprint) {
    processes.compute(
        target,
        (key, existing) -> {
          ProcessRequests process = existing == null ? new ProcessRequests() : existing;
          process.running.merge(fingerprint, 1, Integer::sum);
          return process;
        });
  }

  /** Removes one registration of a request. */
  void remove(UpstreamProcess target, Fingerprint fingerprint) {
    processes.computeIfPresent(
        target,
        (key, process) -> {
          process.running.computeIfPresent(
              fingerprint, (requestFingerprint, count) -> count == 1 ? null : count - 1);
          return process.running.isEmpty() ? null : process;
        });
  }

  /**
   * Reports a crash if the process died. Any other loss is not reported, and no request becomes a
   * suspect.
   *
   * @param observer the request that observed the loss
   * @return true once it is safe to retry the request; false if a crash could not be reported
   */
  CompletableFuture<Boolean> reportIfCrashed(
      UpstreamLoss loss, UpstreamProcess target, Fingerprint observer) {
    return loss == UpstreamLoss.PROCESS_DIED
        ? reportCrash(target, observer)
        : CompletableFuture.completedFuture(true);
  }

  /**
   * Reports the crash of an upstream process, with all requests of this entry that run on it.
   * Requests that observe the same crash share one report.
   *
   * @param observer the request that observed the crash
   * @return true once every entry with a lease has the report; false if that is not confirmed in
   *     time
   */
  CompletableFuture<Boolean> reportCrash(UpstreamProcess target, Fingerprint observer) {
    CompletableFuture<Boolean> report = new CompletableFuture<>();
    Set<Fingerprint> suspects = new HashSet<>();
    ProcessRequests process =
        processes.compute(
            target, (key, existing) -> beginReport(existing, observer, suspects, report));
    if (!suspects.isEmpty()) {
      sendReport(target, suspects, report);
    }
    return process.report;
  }

  private static ProcessRequests beginReport(
      ProcessRequests existing,
      Fingerprint observer,
      Set<Fingerprint> suspects,
      CompletableFuture<Boolean> report) {
    ProcessRequests process = existing == null ? new ProcessRequests() : existing;
    if (!process.covers(observer)) {
      suspects.addAll(process.running.keySet());
      suspects.add(observer);
      process.reportedRequests = Set.copyOf(suspects);
      process.report = report;
    }
    return process;
  }

  private void sendReport(
      UpstreamProcess target, Set<Fingerprint> suspects, CompletableFuture<Boolean> report) {
    logger.atWarning().log(
        "%s",
        LogEvent.named("upstream-died")
            .with("upstream", target.upstream())
            .with("boot_id", target.bootId())
            .with("running", suspects.size()));
    crashReports
        .reportCrash(target.upstream(), target.bootId(), suspects, bounds.crashReportTimeout())
        .exceptionally(failure -> false)
        .thenAccept(acknowledged -> reportCompleted(target, report, acknowledged));
  }

  private void reportCompleted(
      UpstreamProcess target, CompletableFuture<Boolean> report, boolean acknowledged) {
    report.complete(acknowledged);
    processes.computeIfPresent(
        target, (key, process) -> process.running.isEmpty() ? null : process);
  }
}
