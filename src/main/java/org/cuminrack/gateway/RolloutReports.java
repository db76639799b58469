package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminrack.generated.rollout.RolloutFigures;
import org.cuminrack.generated.rollout.RolloutReport;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.lifecycle.ServiceThreads;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.ControlCalls;
import org.cuminrack.wire.Method;

/** Reports to the leader what this gateway counts, while a version of a service is rolled out. */
public final class RolloutReports implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INTERVAL = Duration.ofMillis(500);

  /** Each report holds all that the ones before did, so none is worth repeating for long. */
  private static final Duration TIMEOUT = Duration.ofMillis(900);

  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(300);

  private final String vm;
  private final long bootId = new SecureRandom().nextLong(1, Long.MAX_VALUE);
  private final VersionOutcomes outcomes;
  private final ControlCalls control;
  private ScheduledExecutorService worker;

  public RolloutReports(String vm, VersionOutcomes outcomes, ControlCalls control) {
    this.vm = vm;
    this.outcomes = outcomes;
    this.control = control;
  }

  @Override
  public synchronized void start() {
    worker = ServiceThreads.scheduler("rollout-reports");
    worker.scheduleWithFixedDelay(
        this::reportLoggingFailures,
        INTERVAL.toMillis(),
        INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  @Override
  public synchronized void stop() {
    if (worker != null) {
      worker.shutdownNow();
      worker = null;
    }
  }

  private void reportLoggingFailures() {
    try {
      report();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.named("rollout-report-failed"));
    }
  }

  private void report() {
    List<RolloutFigures> totals = outcomes.totals();
    if (totals.isEmpty()) {
      return;
    }
    RolloutReport report =
        RolloutReport.newBuilder().setVm(vm).setBoot(bootId).addAllRollouts(totals).build();
    control
        .call(Method.REPORT_ROLLOUT, report.toByteArray(), TIMEOUT, ATTEMPT_TIMEOUT)
        .thenAccept(
            outcome ->
                outcome.peekLeft(
                    failure ->
                        logger.atInfo().log(
                            "%s", LogEvent.named("rollout-report-lost").with("detail", failure))));
  }
}
