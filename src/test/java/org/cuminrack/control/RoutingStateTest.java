package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import org.cuminrack.generated.control.PutRouting;
import org.cuminrack.generated.control.RoutingVerdict;
import org.cuminrack.generated.control.SetEvacuation;
import org.junit.jupiter.api.Test;

class RoutingStateTest {
  private final RoutingState state = new RoutingState();

  @Test
  void shouldStoreHigherVersion() {
    assertThat(put(1, 3, "three")).isEqualTo(RoutingVerdict.ROUTING_STORED);
    assertThat(put(2, 7, "seven")).isEqualTo(RoutingVerdict.ROUTING_STORED);

    assertThat(state.data().getVersion()).isEqualTo(7);
    assertThat(state.data().getRevision()).isEqualTo(2);
  }

  @Test
  void shouldReportResendAsUnchanged() {
    put(1, 3, "three");

    assertThat(put(2, 3, "three")).isEqualTo(RoutingVerdict.ROUTING_UNCHANGED);
    assertThat(state.data().getRevision()).isEqualTo(1);
  }

  @Test
  void shouldIgnoreOlderVersion() {
    put(1, 7, "seven");

    assertThat(put(2, 3, "three")).isEqualTo(RoutingVerdict.ROUTING_SUPERSEDED);
    assertThat(state.data().getDocument().toStringUtf8()).isEqualTo("seven");
  }

  @Test
  void shouldRejectDifferentContentUnderCurrentVersion() {
    put(1, 3, "three");

    assertThat(put(2, 3, "other")).isEqualTo(RoutingVerdict.ROUTING_CONFLICT);
    assertThat(state.data().getDocument().toStringUtf8()).isEqualTo("three");
  }

  @Test
  void shouldAdvanceRevisionOnlyOnEvacuationChange() {
    setEvacuation(1, "dc-a", true);
    setEvacuation(2, "dc-a", true);
    assertThat(state.data().getRevision()).isEqualTo(1);

    setEvacuation(3, "dc-a", false);

    assertThat(state.data().getRevision()).isEqualTo(3);
    assertThat(state.data().getEvacuatedList()).isEmpty();
  }

  @Test
  void shouldRestoreFromSnapshot() {
    put(1, 3, "three");
    setEvacuation(2, "dc-a", true);
    RoutingState restored = new RoutingState();

    restored.restore(state.data());

    assertThat(restored.data()).isEqualTo(state.data());
  }

  private RoutingVerdict put(long index, long version, String document) {
    PutRouting command =
        PutRouting.newBuilder()
            .setVersion(version)
            .setDocument(ByteString.copyFromUtf8(document))
            .build();
    return state.put(index, command).getVerdict();
  }

  private void setEvacuation(long index, String dataCentre, boolean evacuated) {
    state.setEvacuation(
        index,
        SetEvacuation.newBuilder().setDataCentre(dataCentre).setEvacuated(evacuated).build());
  }
}
