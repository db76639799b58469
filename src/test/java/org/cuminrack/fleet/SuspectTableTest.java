package org.cuminrack.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.generated.control.CrashData;
import org.cuminrack.generated.control.SuspectData;
import org.cuminrack.generated.control.SuspectUpdate;
import org.cuminrack.member.CrashEvidence;
import org.junit.jupiter.api.Test;

class SuspectTableTest {
  private static final Fingerprint REQUEST =
      Fingerprint.of("org", "GET /read", "body".getBytes(StandardCharsets.UTF_8));

  private static final CrashedProcess PROCESS = new CrashedProcess("i-1", "100");

  private final SuspectTable table = new SuspectTable();

  @Test
  void shouldTakeControlsCountInPlaceOfItsOwn() {
    for (int known = 0; known < 5; known++) {
      table.recordCrash(REQUEST, PROCESS, CrashEvidence.ofRequest(known));
    }

    table.apply(update(0, 7, 2));

    assertThat(table.crashes(REQUEST)).isEqualTo(2);
    assertThat(table.revision()).isEqualTo(7);
  }

  @Test
  void shouldIgnoreAnUpdateOfAControlVmThatIsBehind() {
    table.apply(update(0, 7, 3));

    table.apply(update(0, 6, 2));

    assertThat(table.crashes(REQUEST)).isEqualTo(3);
  }

  @Test
  void shouldIgnoreAnUpdateAfterAGap() {
    table.apply(update(9, 10, 3));

    assertThat(table.crashes(REQUEST)).isEqualTo(0);
  }

  @Test
  void shouldForgetSuspectsThatAWholeUpdateLacks() {
    table.apply(update(0, 7, 3));

    table.apply(SuspectUpdate.newBuilder().setRevision(8).setWhole(true).build());

    assertThat(table.crashes(REQUEST)).isEqualTo(0);
  }

  @Test
  void shouldForgetASuspectThatIsCleared() {
    table.apply(update(0, 7, 3));

    table.apply(update(7, 8, 0));

    assertThat(table.size()).isEqualTo(0);
  }

  @Test
  void shouldNotCountAgainWhatWasClearedAfterTheRequestWasSent() {
    table.apply(update(0, 7, 2));
    table.clear(REQUEST);

    table.recordCrash(REQUEST, PROCESS, CrashEvidence.ofRequest(2));

    assertThat(table.crashes(REQUEST)).isEqualTo(1);
  }

  @Test
  void shouldCountOneCrashForRequestsThatWereSentBeforeItWasKnown() {
    table.recordCrash(REQUEST, PROCESS, CrashEvidence.ofRequest(0));
    table.recordCrash(REQUEST, PROCESS, CrashEvidence.ofRequest(0));

    assertThat(table.crashes(REQUEST)).isEqualTo(1);
  }

  @Test
  void shouldKnowEachUpstreamThatCrashedAtOnce() {
    table.recordCrash(REQUEST, PROCESS, CrashEvidence.ofRequest(0));
    table.recordCrash(REQUEST, PROCESS, CrashEvidence.ofRequest(0));
    table.recordCrash(REQUEST, new CrashedProcess("i-2", "100"), CrashEvidence.ofRequest(0));

    assertThat(table.crashedUpstreams(REQUEST)).isEqualTo(2);
  }

  @Test
  void shouldTakeTheCrashedUpstreamsThatControlKnowsInPlaceOfItsOwn() {
    table.recordCrash(REQUEST, PROCESS, CrashEvidence.ofRequest(0));

    table.apply(
        SuspectUpdate.newBuilder()
            .setRevision(7)
            .addSuspects(
                SuspectData.newBuilder()
                    .setFingerprint(REQUEST.hex())
                    .setCrashes(1)
                    .addCrashed(crash("i-1"))
                    .addCrashed(crash("i-2")))
            .build());
    table.recordCrash(REQUEST, PROCESS, CrashEvidence.ofRequest(0));

    assertThat(table.crashedUpstreams(REQUEST)).isEqualTo(2);
  }

  @Test
  void shouldKnowAsManyCrashedUpstreamsAsCrashesIfControlNamesNone() {
    table.apply(update(0, 7, 3));

    assertThat(table.crashedUpstreams(REQUEST)).isEqualTo(3);
  }

  @Test
  void shouldKeepTheCompanionsOfAllCrashesThatItObserved() {
    Fingerprint first = new Fingerprint("aa");
    Fingerprint second = new Fingerprint("bb");
    table.recordCrash(REQUEST, PROCESS, new CrashEvidence(0, Set.of(first, second)));
    table.recordCrash(REQUEST, PROCESS, new CrashEvidence(1, Set.of(second)));

    assertThat(table.companions(REQUEST)).containsExactly(second);
    assertThat(table.crashes(REQUEST)).isEqualTo(2);
  }

  @Test
  void shouldRemoveAClearedSuspectFromTheCompanionsOfOthers() {
    Fingerprint companion = new Fingerprint("aa");
    table.recordCrash(REQUEST, PROCESS, new CrashEvidence(0, Set.of(companion)));

    table.clear(companion);

    assertThat(table.companions(REQUEST)).isEmpty();
    assertThat(table.crashes(REQUEST)).isEqualTo(1);
  }

  @Test
  void shouldTakeControlsCompanionsInPlaceOfItsOwn() {
    table.recordCrash(REQUEST, PROCESS, new CrashEvidence(0, Set.of(new Fingerprint("aa"))));

    table.apply(
        SuspectUpdate.newBuilder()
            .setRevision(7)
            .addSuspects(
                SuspectData.newBuilder()
                    .setFingerprint(REQUEST.hex())
                    .setCrashes(2)
                    .addCompanions("bb"))
            .build());

    assertThat(table.companions(REQUEST)).containsExactly(new Fingerprint("bb"));
  }

  private static CrashData crash(String upstream) {
    return CrashData.newBuilder().setUpstream(upstream).setBootId("100").build();
  }

  private static SuspectUpdate update(long baseRevision, long revision, int crashes) {
    return SuspectUpdate.newBuilder()
        .setBaseRevision(baseRevision)
        .setRevision(revision)
        .addSuspects(SuspectData.newBuilder().setFingerprint(REQUEST.hex()).setCrashes(crashes))
        .build();
  }
}
