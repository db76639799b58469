package org.cuminrack.quorum.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cuminrack.quorum.LossTolerance;
import org.junit.jupiter.api.Test;

/** A voter is replaced while it is silent, comes back and takes the place of another one. */
class ReturningVoterTest {
  private static final Timing TIMING = SimulatedVm.TIMING;
  private static final long GROUP = 1;
  private static final long TERM = 2;
  private static final ReplicaId A = new ReplicaId("a", 1);
  private static final ReplicaId B = new ReplicaId("b", 2);
  private static final ReplicaId C = new ReplicaId("c", 3);
  private static final ReplicaId SPARE = new ReplicaId("c2", 4);
  private static final VoterSet VOTERS =
      VoterSet.of(Map.of("a", 1L, "b", 2L, "c", 3L), Map.of("a", "dc-a", "b", "dc-b", "c", "dc-c"));

  private final QuorumCore core =
      new QuorumCore(
          new RecoveredState(
              A, 1, null, new SnapshotImage(20, 1, GROUP, VOTERS, new byte[8]), List.of()),
          new MembershipPolicy(Set.of("a", "b", "c"), true, true, new LossTolerance(1, 1), "dc-a"),
          TIMING,
          new Random(1),
          0);
  private long nowNanos = 2 * TIMING.heartbeatNanos();

  @Test
  void shouldKeepTheDataCentreOfAVoterThatTakesAPlaceAgain() {
    core.step(List.of(), nowNanos);
    step(received(B, 1, new Message.PreVoteReply(TERM, true)));
    step(new Event.VoteSynced(1), received(B, TERM, new Message.VoteReply(true)));
    step(received(SPARE, TERM, new Message.Hello(false, 1, "dc-c")));
    replyUntilNotVoting(C, B, SPARE);
    assertThat(core.view().voters().incarnations().keySet()).containsExactly("a", "b", "c2");

    replyUntilNotVoting(SPARE, B, C);

    assertThat(core.view().voters().incarnations().keySet()).containsExactly("a", "b", "c");
    assertThat(core.view().voters().dataCentreOf("c")).isEqualTo("dc-c");
  }

  /** Lets time pass while some replicas reply, until the silent one is no voter any more. */
  private void replyUntilNotVoting(ReplicaId silent, ReplicaId... replying) {
    for (int i = 0; i < 100 && core.view().voters().contains(silent); i++) {
      nowNanos += TIMING.heartbeatNanos();
      long last = core.view().lastIndex();
      step(new Event.LogSynced(0, last));
      for (ReplicaId replica : replying) {
        step(received(replica, TERM, new Message.AppendReply(true, last, last, 0, 0, false)));
      }
    }
  }

  private void step(Event... events) {
    nowNanos++;
    core.step(new ArrayList<>(List.of(events)), nowNanos);
  }

  private static Event received(ReplicaId from, long term, Message message) {
    return new Event.Received(new Packet(from, "", Packet.ANY_INCARNATION, GROUP, term, message));
  }
}
