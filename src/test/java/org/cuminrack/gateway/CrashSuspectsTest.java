package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.fleet.SuspectTable;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.member.CrashEvidence;
import org.cuminrack.member.CrashReports;
import org.cuminrack.relay.RelayBounds;
import org.cuminrack.relay.RunningRequests;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {
  private static final Duration TRIAL_WAIT = Duration.ofSeconds(10);
  private static final Fingerprint REQUEST =
      Fingerprint.of("org", "GET /read", "body".getBytes(StandardCharsets.UTF_8));
  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord(
          "i-1", "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, 100, 1, 0, 0);

  private static final Fingerprint PART = Fingerprint.ofPromptPart("llm", "bad0");
  private static final Fingerprint SHARED_PART = Fingerprint.ofPromptPart("llm", "a1");
  private static final RequestKeys KEYS = RequestKeys.of(REQUEST, "llm", List.of());
  private static final RequestKeys PROMPT =
      RequestKeys.of(REQUEST, "llm", List.of("a1", "bad0", "own"));

  private final ManualClock clock = new ManualClock();
  private final SuspectTable table = new SuspectTable();
  private final RecordingReports reports = new RecordingReports();
  private final List<String> decisions = new ArrayList<>();
  private final FakeSuspectTrials trials = new FakeSuspectTrials();
  private final CrashSuspects suspects =
      new CrashSuspects(
          table, new RunningRequests(reports, RelayBounds.defaults()), reports, trials, clock);

  @Test
  void shouldPermitARequestAfterTwoCrashes() {
    crash(2);

    admit();

    assertThat(decisions).containsExactly("permitted");
  }

  @Test
  void shouldSuspendARequestAfterThreeCrashes() {
    crash(3);

    admit();

    assertThat(decisions).containsExactly("suspended PT10S");
    assertThat(trials.requests).isEqualTo(0);
  }

  @Test
  void shouldPermitOneTrialOnceItIsDue() {
    crash(3);
    admit();
    clock.advance(TRIAL_WAIT);

    admit();
    admit();

    assertThat(decisions).containsExactly("suspended PT10S", "trial", "suspended PT10S").inOrder();
    assertThat(trials.requests).isEqualTo(1);
  }

  @Test
  void shouldRefuseATrialWhileControlDoesNotAnswer() {
    crash(3);
    admit();
    clock.advance(TRIAL_WAIT);
    trials.outcome = new SuspectTrials.Unavailable("no leader");

    admit();

    assertThat(decisions).containsExactly("suspended PT10S", "suspended PT1S").inOrder();
  }

  @Test
  void shouldWaitAsLongAsControlSays() {
    crash(3);
    admit();
    clock.advance(TRIAL_WAIT);
    trials.outcome = new SuspectTrials.Denied(Duration.ofSeconds(42));

    admit();

    assertThat(decisions).containsExactly("suspended PT10S", "suspended PT42S").inOrder();
  }

  @Test
  void shouldClearASuspectThatCompletes() {
    crash(3);

    dispatch(KEYS, 3).completed();

    assertThat(suspects.isSuspended(KEYS)).isFalse();
    assertThat(reports.cleared).containsExactly(REQUEST);
  }

  @Test
  void shouldReportAllRequestsThatRanWithTheCrashesKnownOfEach() {
    Fingerprint beside = new Fingerprint("be51de0000000000");
    dispatch(RequestKeys.of(beside, "llm", List.of()), 1);

    crash(1);

    assertThat(reports.running)
        .containsExactly(REQUEST, CrashEvidence.ofRequest(0), beside, CrashEvidence.ofRequest(1));
  }

  @Test
  void shouldNotReportARequestThatEndedBeforeTheCrash() {
    Fingerprint before = new Fingerprint("bef0e00000000000");
    dispatch(RequestKeys.of(before, "llm", List.of()), 0).completed();

    crash(1);

    assertThat(reports.running).containsExactly(REQUEST, CrashEvidence.ofRequest(0));
  }

  @Test
  void shouldReportThePartsOfAPromptWithTheOthersBesideThem() {
    crash(PROMPT, 1);

    assertThat(reports.running)
        .containsExactly(
            REQUEST,
            CrashEvidence.ofRequest(0),
            PART,
            new CrashEvidence(0, Set.of(SHARED_PART)),
            SHARED_PART,
            new CrashEvidence(0, Set.of(PART)));
  }

  @Test
  void shouldSuspendPromptsWithAPartThatCrashedThreeUpstreams() {
    for (int known = 0; known < 3; known++) {
      crashOnce(prompt("r" + known, "bad0"), known);
    }

    assertThat(suspects.isSuspended(prompt("r9", "bad0"))).isTrue();
    assertThat(suspects.isSuspended(prompt("r9", "b1"))).isFalse();
  }

  @Test
  void shouldSuspendOnlyPromptsWithAllPartsThatWereAlwaysTogether() {
    crash(PROMPT, 3);

    assertThat(suspects.isSuspended(prompt("r9", "b1", "a1", "bad0"))).isTrue();
    assertThat(suspects.isSuspended(prompt("r9", "a1"))).isFalse();
    assertThat(suspects.isSuspended(prompt("r9", "bad0"))).isFalse();
  }

  @Test
  void shouldSuspendAPartAloneOnceTheOthersAreCleared() {
    crash(PROMPT, 3);

    dispatch(prompt("r9", "a1"), 3).outputReceived();

    assertThat(suspects.isSuspended(prompt("r9", "bad0"))).isTrue();
    assertThat(reports.cleared).containsExactly(SHARED_PART);
  }

  @Test
  void shouldSuspendAPartInAnyPromptAfterSixCrashes() {
    crash(PROMPT, 6);

    assertThat(suspects.isSuspended(prompt("r9", "bad0"))).isTrue();
  }

  @Test
  void shouldNotReportPartsOfAPromptThatWasProcessedBeforeTheCrash() {
    dispatch(prompt("r1", "c1"), 0).outputReceived();

    crash(1);

    assertThat(reports.running.keySet()).containsExactly(REQUEST, prompt("r1").content());
  }

  @Test
  void shouldNotClearAContentAtItsFirstOutput() {
    crash(3);

    dispatch(KEYS, 3).outputReceived();

    assertThat(suspects.isSuspended(KEYS)).isTrue();
  }

  @Test
  void shouldRequestOneTrialForAllSuspectsOfARequest() {
    crash(PROMPT, 3);
    admit(PROMPT);
    clock.advance(TRIAL_WAIT);

    admit(PROMPT);

    assertThat(decisions).containsExactly("suspended PT10S", "trial").inOrder();
    assertThat(trials.requested).containsExactly(SHARED_PART, PART, REQUEST).inOrder();
  }

  @Test
  void shouldNotWatchTheLastPartOfAPrompt() {
    crash(RequestKeys.of(REQUEST, "llm", List.of("own")), 3);

    assertThat(suspects.isSuspended(prompt("r9", "own"))).isFalse();
  }

  @Test
  void shouldWatchTheSamePartApartAtEachService() {
    crash(PROMPT, 3);

    assertThat(
            suspects.isSuspended(
                RequestKeys.of(prompt("r9").content(), "other", List.of("a1", "bad0", "own"))))
        .isFalse();
  }

  /** Returns the keys of a prompt with the given shared parts and another one of its own. */
  private static RequestKeys prompt(String content, String... shared) {
    List<String> parts = new ArrayList<>(List.of(shared));
    parts.add("own-" + content);
    return RequestKeys.of(Fingerprint.of("org", content, new byte[0]), "llm", parts);
  }

  private SuspectDispatch dispatch(RequestKeys keys, int knownCrashes) {
    return suspects.dispatch(UPSTREAM, keys, key -> knownCrashes);
  }

  private void crash(int times) {
    crash(KEYS, times);
  }

  private void crash(RequestKeys keys, int times) {
    for (int known = 0; known < times; known++) {
      crashOnce(keys, known);
    }
  }

  private void crashOnce(RequestKeys keys, int knownCrashes) {
    SuspectDispatch dispatch = dispatch(keys, knownCrashes);
    suspects.crashed(dispatch);
    dispatch.abandoned();
  }

  private void admit() {
    admit(KEYS);
  }

  private void admit(RequestKeys keys) {
    suspects.admit(
        keys,
        Runnable::run,
        trialOf -> decisions.add(trialOf.isEmpty() ? "permitted" : "trial"),
        wait -> decisions.add("suspended " + wait));
  }

  /** Keeps the last report. */
  private static final class RecordingReports implements CrashReports {
    private final List<Fingerprint> cleared = new ArrayList<>();
    private Map<Fingerprint, CrashEvidence> running = Map.of();

    @Override
    public CompletableFuture<Boolean> reportCrash(
        String upstream,
        String bootId,
        Map<Fingerprint, CrashEvidence> reported,
        Duration timeout) {
      running = reported;
      return CompletableFuture.completedFuture(true);
    }

    @Override
    public void clear(Fingerprint fingerprint) {
      cleared.add(fingerprint);
    }
  }
}
