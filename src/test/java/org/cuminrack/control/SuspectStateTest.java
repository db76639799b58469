package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.cuminrack.generated.control.CrashData;
import org.cuminrack.generated.control.CrashRequest;
import org.cuminrack.generated.control.FingerprintList;
import org.cuminrack.generated.control.TrialRequest;
import org.cuminrack.generated.control.TrialResult;
import org.junit.jupiter.api.Test;

class SuspectStateTest {
  private static final String REQUEST = "5f";

  private final SuspectState state = new SuspectState();

  @Test
  void shouldCountCrashesThatFollowEachOther() {
    crash("engine-1", 0, 0);
    crash("engine-2", 1, 0);
    crash("engine-3", 2, 0);

    assertThat(state.crashes(REQUEST)).isEqualTo(3);
  }

  @Test
  void shouldCountUpstreamsThatCrashedAtOnceAsOneCrash() {
    crash("engine-1", 0, 0);
    crash("engine-2", 0, 0);
    crash("engine-3", 0, 0);

    assertThat(state.crashes(REQUEST)).isEqualTo(1);
  }

  @Test
  void shouldCountEachCrashOfASenderThatKnowsNoCounts() {
    CrashRequest.Builder report = report("engine-1");
    state.report(report.build(), 0);
    state.report(report.setUpstream("engine-2").build(), 0);

    assertThat(state.crashes(REQUEST)).isEqualTo(2);
  }

  @Test
  void shouldCountAReportOnce() {
    crash("engine-1", 0, 0);
    crash("engine-1", 1, 0);

    assertThat(state.crashes(REQUEST)).isEqualTo(1);
  }

  @Test
  void shouldGrantAtMostThreeTrialsPerRetention() {
    crash("engine-1", 0, 0);

    int granted = 0;
    for (long seconds = 0; seconds < SuspectState.RETENTION.toSeconds(); seconds++) {
      granted += tryAt(seconds).getGranted() ? 1 : 0;
    }

    assertThat(granted).isEqualTo(3);
  }

  @Test
  void shouldTellWhenTheNextTrialIsDue() {
    crash("engine-1", 0, 0);

    assertThat(tryAt(4).getWaitMillis()).isEqualTo(Duration.ofSeconds(6).toMillis());
    assertThat(tryAt(10).getGranted()).isTrue();
    assertThat(tryAt(10).getWaitMillis()).isEqualTo(Duration.ofMinutes(1).toMillis());
  }

  @Test
  void shouldGrantATrialOfARequestThatIsNoSuspect() {
    crash("engine-1", 0, 0);
    state.clear(REQUEST);

    assertThat(tryAt(0).getGranted()).isTrue();
  }

  @Test
  void shouldKeepTrialsInASnapshot() {
    crash("engine-1", 0, 0);
    tryAt(10);

    SuspectState restored = new SuspectState();
    restored.restore(List.copyOf(state.all()));

    assertThat(restored.tryAgain(trial(REQUEST), 20_000).getWaitMillis()).isEqualTo(50_000);
  }

  @Test
  void shouldKnowAllUpstreamsThatCrashedAtOnce() {
    crashAtOnce("engine-1", "engine-2", "engine-3");
    crashAtOnce("engine-3");

    assertThat(state.crashed(REQUEST).stream().map(CrashData::getUpstream))
        .containsExactly("engine-1", "engine-2", "engine-3");
  }

  @Test
  void shouldGrantATrialAtOnceIfUpstreamsCrashedAtOnce() {
    crashAtOnce("engine-1", "engine-2", "engine-3");

    assertThat(tryAt(0).getGranted()).isTrue();
    assertThat(tryAt(0).getWaitMillis()).isEqualTo(Duration.ofSeconds(10).toMillis());
  }

  @Test
  void shouldGrantAtMostThreeTrialsOfARequestThatCrashedUpstreamsAtOnce() {
    crashAtOnce("engine-1", "engine-2", "engine-3");

    int granted = 0;
    for (int seconds = 0; seconds < SuspectState.RETENTION.toSeconds(); seconds++) {
      if (tryAt(seconds).getGranted()) {
        granted++;
        crash("trial-" + granted, state.crashes(REQUEST), Duration.ofSeconds(seconds).toMillis());
      }
    }

    assertThat(granted).isEqualTo(3);
  }

  @Test
  void shouldGrantATrialAgainThatWasGivenBack() {
    crash("engine-1", 0, 0);
    tryAt(10, "trial-1");

    giveBack("trial-1");

    assertThat(tryAt(20).getGranted()).isTrue();
  }

  @Test
  void shouldTakeBackATrialOnceIfTheCommandIsRepeated() {
    crash("engine-1", 0, 0);
    tryAt(10, "trial-1");
    tryAt(70, "trial-2");

    giveBack("trial-2");
    giveBack("trial-2");

    assertThat(tryAt(70).getWaitMillis()).isEqualTo(Duration.ofMinutes(1).toMillis());
  }

  @Test
  void shouldGrantATrialOnceIfTheCommandIsRepeated() {
    crash("engine-1", 0, 0);

    assertThat(tryAt(10, "trial-1").getGranted()).isTrue();
    assertThat(tryAt(11, "trial-1").getGranted()).isTrue();
    assertThat(tryAt(70, "trial-2").getGranted()).isTrue();
  }

  @Test
  void shouldKeepTheUpstreamsThatCrashedAtOnceInASnapshot() {
    crashAtOnce("engine-1", "engine-2", "engine-3");

    SuspectState restored = new SuspectState();
    restored.restore(List.copyOf(state.all()));

    assertThat(restored.crashed(REQUEST)).hasSize(3);
  }

  @Test
  void shouldKeepTheCompanionsThatWereBesideAPartEachTime() {
    crashPart("engine-1", 0, "aa", "bb", "cc");
    crashPart("engine-2", 1, "bb", "cc");
    crashPart("engine-3", 1, "cc", "dd");

    assertThat(state.crashes(REQUEST)).isEqualTo(2);
    assertThat(state.companions(REQUEST)).containsExactly("cc");
  }

  @Test
  void shouldJoinTheReportsOfTwoGatewaysOnOneCrash() {
    crashPart("engine-1", 0, "aa", "bb");
    crashPart("engine-1", 0, "bb", "cc");

    assertThat(state.crashes(REQUEST)).isEqualTo(1);
    assertThat(state.companions(REQUEST)).containsExactly("bb");
  }

  @Test
  void shouldRemoveAClearedPartFromTheCompanionsOfOthers() {
    crashPart("engine-1", 0, "aa", "bb");

    assertThat(state.clear("aa")).containsExactly(REQUEST);
    assertThat(state.companions(REQUEST)).containsExactly("bb");
    assertThat(state.clear("aa")).isEmpty();
  }

  @Test
  void shouldTellWhichSuspicionsAReportChanged() {
    CrashRequest second = partReport("engine-2", 0, "bb").build();
    crashPart("engine-1", 0, "aa", "bb");

    assertThat(state.report(second, 0)).containsExactly(REQUEST);
    assertThat(state.report(second, 0)).isEmpty();
  }

  @Test
  void shouldGrantATrialOnlyIfItIsDueForEachSuspect() {
    crash("engine-1", 0, 0);
    state.report(
        CrashRequest.newBuilder().setUpstream("e").setBootId("1").addFingerprints("aa").build(),
        Duration.ofSeconds(4).toMillis());
    TrialRequest both = trial(REQUEST).toBuilder().addOthers("aa").build();

    assertThat(state.tryAgain(both, 10_000).getWaitMillis()).isEqualTo(4_000);
    assertThat(state.tryAgain(both, 14_000).getGranted()).isTrue();
    assertThat(state.tryAgain(trial("aa"), 14_000).getWaitMillis()).isEqualTo(60_000);
    assertThat(state.tryAgain(trial(REQUEST), 14_000).getWaitMillis()).isEqualTo(60_000);
  }

  @Test
  void shouldKeepCompanionsInASnapshot() {
    crashPart("engine-1", 0, "aa");

    SuspectState restored = new SuspectState();
    restored.restore(List.copyOf(state.all()));

    assertThat(restored.companions(REQUEST)).containsExactly("aa");
  }

  private void giveBack(String trialId) {
    state.tryAgain(trial(REQUEST).toBuilder().setTrialId(trialId).setGivenBack(true).build(), 0);
  }

  private TrialResult tryAt(long seconds, String trialId) {
    return state.tryAgain(
        trial(REQUEST).toBuilder().setTrialId(trialId).build(),
        Duration.ofSeconds(seconds).toMillis());
  }

  private void crashAtOnce(String... upstreams) {
    for (String upstream : upstreams) {
      crash(upstream, 0, 0);
    }
  }

  private void crashPart(String upstream, int knownCrashes, String... companions) {
    state.report(partReport(upstream, knownCrashes, companions).build(), 0);
  }

  private static CrashRequest.Builder partReport(
      String upstream, int knownCrashes, String... companions) {
    return report(upstream)
        .addKnownCrashes(knownCrashes)
        .addCompanions(FingerprintList.newBuilder().addAllFingerprints(List.of(companions)));
  }

  private static TrialRequest trial(String fingerprint) {
    return TrialRequest.newBuilder().setFingerprint(fingerprint).build();
  }

  private void crash(String upstream, int knownCrashes, long timeMillis) {
    state.report(report(upstream).addKnownCrashes(knownCrashes).build(), timeMillis);
  }

  private static CrashRequest.Builder report(String upstream) {
    return CrashRequest.newBuilder().setUpstream(upstream).setBootId("1").addFingerprints(REQUEST);
  }

  private TrialResult tryAt(long seconds) {
    return state.tryAgain(trial(REQUEST), Duration.ofSeconds(seconds).toMillis());
  }
}
