package org.cuminrack.quorum.internal;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

class VoterSetTest {
  private static final Map<String, Long> INCARNATIONS = Map.of("a", 1L, "b", -2L, "c", 31L);
  private static final VoterSet VOTERS =
      VoterSet.of(INCARNATIONS, Map.of("a", "north", "b", "east/1,x=@ y"));

  @Test
  void shouldDecodeWhatItEncoded() {
    assertThat(VoterSet.decode(VOTERS.encode())).isEqualTo(VOTERS);
  }

  @Test
  void shouldDecodeAJointSetWithTheDataCentresOfPreviousVoters() {
    VoterSet joint = VOTERS.replacing("a", new ReplicaId("d", 4), "west");

    VoterSet decoded = VoterSet.decode(joint.encode());

    assertThat(decoded).isEqualTo(joint);
    assertThat(decoded.dataCentreOf("a")).isEqualTo("north");
    assertThat(decoded.dataCentreOf("d")).isEqualTo("west");
  }

  @Test
  void shouldDecodeASetWithoutDataCentres() {
    byte[] bytes = "a=1,b=fffffffffffffffe,c=1f/".getBytes(StandardCharsets.UTF_8);

    assertThat(VoterSet.decode(bytes)).isEqualTo(VoterSet.of(INCARNATIONS));
  }

  @Test
  void shouldEncodeASetWithoutDataCentresAsBefore() {
    VoterSet joint = VoterSet.of(Map.of("a", 1L)).adding(new ReplicaId("b", 31), "");

    assertThat(new String(joint.encode(), StandardCharsets.UTF_8)).isEqualTo("a=1,b=1f/a=1");
  }

  @Test
  void shouldForgetTheDataCentreOfAReplacedVoterOnceTheChangeCompletes() {
    VoterSet completed = VOTERS.replacing("a", new ReplicaId("d", 4), "west").completed();

    assertThat(completed.dataCentres()).containsExactly("b", "east/1,x=@ y", "d", "west");
  }

  @Test
  void shouldKeepThePreviousVotersWhileSeveralAreAdded() {
    VoterSet joint = VOTERS.adding(new ReplicaId("d", 4), "").adding(new ReplicaId("e", 5), "");

    assertThat(joint.previous()).isEqualTo(INCARNATIONS);
    assertThat(joint.size()).isEqualTo(5);
  }
}
