package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.fleet.CrashedProcess;
import org.cuminrack.fleet.SuspectTable;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.member.CrashEvidence;
import org.cuminrack.member.CrashReports;
import org.cuminrack.relay.RelayBounds;
import org.cuminrack.relay.RunningRequests;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class CallSuspicionTest {
  private static final Fingerprint REQUEST = Fingerprint.of("org", "POST /plan", new byte[0]);
  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("i-1", "llm", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, 100, 1, 0, 0);

  private final ManualClock clock = new ManualClock();
  private final SuspectTable table = new SuspectTable();
  private final CrashReports reports = new IgnoredCrashReports();
  private final FakeSuspectTrials trials = new FakeSuspectTrials();
  private final CrashSuspects suspects =
      new CrashSuspects(
          table, new RunningRequests(reports, RelayBounds.defaults()), reports, trials, clock);
  private final RequestKeys keys = RequestKeys.of(REQUEST, "llm", List.of());

  @Test
  void shouldPermitOneDispatchOnTrial() {
    CallSuspicion suspicion = suspendedCallOnTrial();
    assertThat(suspicion.isSuspended()).isFalse();

    suspicion.registerDispatch(UPSTREAM);

    assertThat(suspicion.isSuspended()).isTrue();
  }

  @Test
  void shouldPermitAStreamOnTrialToBeMoved() {
    CallSuspicion suspicion = suspendedCallOnTrial();

    suspicion.registerDispatch(UPSTREAM);

    assertThat(suspicion.isSuspendedFromResuming()).isFalse();
  }

  @Test
  void shouldNotPermitAStreamOnTrialToBeResumedAfterALoss() {
    CallSuspicion suspicion = suspendedCallOnTrial();
    suspicion.registerDispatch(UPSTREAM);

    suspicion.recordLost();

    assertThat(suspicion.isSuspendedFromResuming()).isTrue();
  }

  @Test
  void shouldGiveBackATrialThatWasNotSent() {
    CallSuspicion suspicion = suspendedCallOnTrial();

    suspicion.recordEnd();

    assertThat(trials.givenBack).hasSize(1);
    assertThat(trials.givenBack.get(0).suspects()).containsExactly(REQUEST);
    assertThat(suspicion.isSuspended()).isTrue();
  }

  @Test
  void shouldNotGiveBackATrialThatWasSent() {
    CallSuspicion suspicion = suspendedCallOnTrial();
    suspicion.registerDispatch(UPSTREAM);

    suspicion.recordEnd();

    assertThat(trials.givenBack).isEmpty();
  }

  private CallSuspicion suspendedCallOnTrial() {
    for (int known = 0; known < CrashSuspects.MAX_CRASHES; known++) {
      table.recordCrash(
          REQUEST, new CrashedProcess("i-" + known, "100"), CrashEvidence.ofRequest(known));
    }
    new CallSuspicion(suspects, keys).admit(Runnable::run, () -> {}, wait -> {});
    clock.advance(Duration.ofSeconds(10));
    CallSuspicion suspicion = new CallSuspicion(suspects, keys);
    suspicion.admit(Runnable::run, () -> {}, wait -> {});
    assertThat(suspicion.isOnTrial()).isTrue();
    return suspicion;
  }
}
