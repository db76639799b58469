package org.cuminrack.relay;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.CrashEvidence;
import org.cuminrack.member.CrashReports;

/**
 * Tracks which requests of this process, and which parts of prompts, run on each upstream process,
 * so that a crash report can name the requests that may have caused the crash. Thread-safe: the
 * state of a process is changed only under the lock of its map key, which is never held during a
 * report.
 */
public final class RunningRequests {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConcurrentMap<UpstreamProcess, ProcessRequests> processes =
      new ConcurrentHashMap<>();
  private final CrashReports crashReports;
  private final RelayBounds bounds;

  public RunningRequests(CrashReports crashReports, RelayBounds bounds) {
    this.crashReports = crashReports;
    this.bounds = bounds;
  }

  /** The requests that run on one upstream process, and the report of its crash. */
  private static final class ProcessRequests {
    private final Map<Fingerprint, RunningCount> running = new ConcurrentHashMap<>();
    private Set<Fingerprint> reportedRequests = Set.of();
    private volatile CompletableFuture<Boolean> report = CompletableFuture.completedFuture(false);

    /** Returns whether a report that has not failed names the request. */
    private boolean covers(Fingerprint fingerprint) {
      return reportedRequests.contains(fingerprint) && report.getNow(true);
    }
  }

  /** How often requests of equal content run on a process, or prompts with the same part. */
  private record RunningCount(int count, CrashEvidence evidence) {
    RunningCount plus(RunningCount other) {
      return new RunningCount(count + other.count, evidence.plus(other.evidence));
    }

    RunningCount minusOne() {
      return count == 1 ? null : new RunningCount(count - 1, evidence);
    }
  }

  /** Registers a request that runs on the process; each crash will count against it. */
  void add(UpstreamProcess target, Fingerprint fingerprint) {
    add(target, fingerprint, CrashEvidence.ofRequest(CrashReports.COUNT_ALWAYS));
  }

  /** Registers a request, or a part of its prompt, that runs on the process. */
  public void add(UpstreamProcess target, Fingerprint fingerprint, CrashEvidence evidence) {
    processes.compute(
        target,
        (key, existing) -> {
          ProcessRequests process = existing == null ? new ProcessRequests() : existing;
          process.running.merge(fingerprint, new RunningCount(1, evidence), RunningCount::plus);
          return process;
        });
  }

  /** Removes one registration of a request. */
  public void remove(UpstreamProcess target, Fingerprint fingerprint) {
    processes.computeIfPresent(
        target,
        (key, process) -> {
          process.running.computeIfPresent(
              fingerprint, (requestFingerprint, count) -> count.minusOne());
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
   * Reports the crash of an upstream process, with all requests of this process that run on it.
   * Requests that observe the same crash share one report.
   *
   * @param observer the request that observed the crash
   * @return true once every entry with a lease has the report; false if that is not confirmed in
   *     time
   */
  public CompletableFuture<Boolean> reportCrash(UpstreamProcess target, Fingerprint observer) {
    CompletableFuture<Boolean> report = new CompletableFuture<>();
    Map<Fingerprint, CrashEvidence> suspects = new HashMap<>();
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
      Map<Fingerprint, CrashEvidence> suspects,
      CompletableFuture<Boolean> report) {
    ProcessRequests process = existing == null ? new ProcessRequests() : existing;
    if (!process.covers(observer)) {
      process.running.forEach((fingerprint, count) -> suspects.put(fingerprint, count.evidence()));
      suspects.putIfAbsent(observer, CrashEvidence.ofRequest(CrashReports.COUNT_ALWAYS));
      process.reportedRequests = Set.copyOf(suspects.keySet());
      process.report = report;
    }
    return process;
  }

  private void sendReport(
      UpstreamProcess target,
      Map<Fingerprint, CrashEvidence> suspects,
      CompletableFuture<Boolean> report) {
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
