package org.cuminrack.quorum;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminrack.quorum.internal.CoreView;
import org.cuminrack.quorum.internal.ReplicaId;
import org.cuminrack.quorum.internal.Role;
import org.cuminrack.quorum.internal.VoterSet;
import org.junit.jupiter.api.Test;

class StatusConverterTest {
  private static final ReplicaId SELF = new ReplicaId("a", 1);
  private static final VoterSet VOTERS = VoterSet.of(Map.of("a", 1L, "b", 2L, "c", 3L));

  @Test
  void shouldShowAReplacementUntilTheNewVotersAreCommitted() {
    assertThat(isReplacing(VOTERS, 7, 6)).isTrue();
    assertThat(isReplacing(VOTERS, 7, 7)).isFalse();
  }

  @Test
  void shouldShowAReplacementWhileTheVotersAreJoint() {
    VoterSet joint = VOTERS.replacing("c", new ReplicaId("d", 4), "");

    assertThat(isReplacing(joint, 7, 7)).isTrue();
  }

  private static boolean isReplacing(VoterSet voters, long votersIndex, long commitIndex) {
    CoreView view =
        new CoreView(
            SELF,
            Role.LEADER,
            1,
            "a",
            true,
            7,
            7,
            commitIndex,
            commitIndex,
            0,
            1,
            false,
            voters,
            votersIndex,
            Set.of(),
            Set.of());
    return StatusConverter.toStatus(view, "", "", Optional.empty()).replacing();
  }
}
