package org.cuminrack.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.generated.control.SuspectData;
import org.cuminrack.generated.control.SuspectUpdate;
import org.junit.jupiter.api.Test;

class SuspectTableTest {
  private static final Fingerprint REQUEST =
      Fingerprint.of("org", "GET /read", "body".getBytes(StandardCharsets.UTF_8));

  private final SuspectTable table = new SuspectTable();

  @Test
  void shouldTakeControlsCountInPlaceOfItsOwn() {
    table.recordCrash(REQUEST, 4);

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

  private static SuspectUpdate update(long baseRevision, long revision, int crashes) {
    return SuspectUpdate.newBuilder()
        .setBaseRevision(baseRevision)
        .setRevision(revision)
        .addSuspects(SuspectData.newBuilder().setFingerprint(REQUEST.hex()).setCrashes(crashes))
        .build();
  }
}
