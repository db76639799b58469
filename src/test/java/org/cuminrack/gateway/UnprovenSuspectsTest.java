package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.fleet.SuspectTable;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.member.CrashReports;
import org.cuminrack.relay.RelayBounds;
import org.cuminrack.relay.RunningRequests;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

/** Requests whose crashes overlapped, so that they may be innocent. */
class UnprovenSuspectsTest {
  /** How long a request waits for a trial to clear it. */
  private static final Duration CLEARANCE_WAIT = Duration.ofMillis(500);

  private static final Fingerprint REQUEST = Fingerprint.of("org", "GET /read", new byte[0]);
  private static final Fingerprint OTHER = Fingerprint.of("org", "GET /other", new byte[0]);
  private static final RequestKeys KEYS = RequestKeys.of(REQUEST, "llm", List.of());
  private static final RequestKeys PROMPT =
      RequestKeys.of(REQUEST, "llm", List.of("a1", "bad0", "own"));

  private final ManualClock clock = new ManualClock();
  private final FakeSuspectTrials trials = new FakeSuspectTrials();
  private final CrashReports reports = new IgnoredCrashReports();
  private final List<String> decisions = new ArrayList<>();
  private final CrashSuspects suspects =
      new CrashSuspects(
          new SuspectTable(),
          new RunningRequests(reports, RelayBounds.defaults()),
          reports,
          trials,
          clock);

  @Test
  void shouldRequestATrialAtOnceOfARequestThatCrashedThreeUpstreamsAtOnce() {
    crashAtOnce(KEYS, 3);

    admit();
    admit();

    assertThat(decisions).containsExactly("trial", "suspended PT0.25S").inOrder();
    assertThat(suspects.isUnproven(KEYS)).isTrue();
  }

  @Test
  void shouldNotWaitLongForTheNextTrialOfARequestThatMayBeClearedSoon() {
    crashAtOnce(KEYS, 3);
    trials.outcome = new SuspectTrials.Denied(Duration.ofMinutes(1));

    admit();

    assertThat(decisions).containsExactly("suspended PT0.25S");
  }

  @Test
  void shouldPermitARequestThatCrashedTwoUpstreamsAtOnce() {
    crashAtOnce(KEYS, 2);

    admit();

    assertThat(decisions).containsExactly("permitted");
  }

  @Test
  void shouldNotSuspendAPartInWhosePromptsUpstreamsCrashedAtOnce() {
    crashAtOnce(PROMPT, 3);

    assertThat(suspects.isSuspended(PROMPT)).isTrue();
    assertThat(suspects.isSuspended(RequestKeys.of(OTHER, "llm", List.of("a1", "bad0", "other"))))
        .isFalse();
  }

  @Test
  void shouldGiveBackATrialIfControlsAnswerIsLost() {
    crashAtOnce(KEYS, 3);
    trials.outcome = new SuspectTrials.Unavailable("timed out");

    admit();

    assertThat(trials.givenBack).hasSize(1);
  }

  @Test
  void shouldRequestATrialAgainWhileARequestWaitsForOneThatWasGivenBack() {
    crashAtOnce(KEYS, 3);
    admit();
    suspects.giveBack(SuspectTrial.of(List.of(REQUEST)));

    clock.advance(CLEARANCE_WAIT);
    admit();

    assertThat(decisions).containsExactly("trial", "trial").inOrder();
  }

  private void admit() {
    suspects.admit(
        KEYS,
        Runnable::run,
        trial -> decisions.add(trial.isPresent() ? "trial" : "permitted"),
        wait -> decisions.add("suspended " + wait));
  }

  private void crashAtOnce(RequestKeys keys, int upstreams) {
    List<SuspectDispatch> dispatches = new ArrayList<>();
    for (int i = 0; i < upstreams; i++) {
      UpstreamRecord upstream =
          new UpstreamRecord(
              "i-" + i, "llm", "10.0.0." + i + ":80", "dc-a", 6, UpstreamPhase.READY, 100, 1, 0, 0);
      dispatches.add(suspects.dispatch(upstream, keys, key -> 0));
    }
    dispatches.forEach(suspects::crashed);
  }
}
