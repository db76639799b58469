package org.cuminrack.quorum.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cuminrack.quorum.LossTolerance;
import org.cuminrack.quorum.ProposalFailure;
import org.junit.jupiter.api.Test;

/** A group of three that has to tolerate the loss of two VMs gets its first command. */
class FirstCommandTest {
  private static final Timing TIMING = SimulatedVm.TIMING;
  private static final long GROUP = 1;
  private static final long TERM = 2;
  private static final ReplicaId A = new ReplicaId("a", 1);
  private static final List<ReplicaId> FOUNDERS_BUT_A =
      List.of(new ReplicaId("b", 2), new ReplicaId("c", 3));
  private static final List<ReplicaId> LEARNERS =
      List.of(new ReplicaId("d", 4), new ReplicaId("e", 5));
  private static final VoterSet FOUNDERS =
      VoterSet.of(Map.of("a", 1L, "b", 2L, "c", 3L), Map.of("a", "dc-a", "b", "dc-b", "c", "dc-c"));
  private static final byte[] COMMAND = {7};

  private final List<Effect> effects = new ArrayList<>();
  private QuorumCore core;
  private long nowNanos;

  @Test
  void shouldRefuseTheFirstCommandWhileTheGroupHasTooFewVoters() {
    leadWith(List.of());

    step(new Event.Propose(1, COMMAND));

    assertThat(failures()).hasSize(1);
    Effect.Fail failure = (Effect.Fail) failures().get(0);
    assertThat(failure.failure())
        .isEqualTo(
            new ProposalFailure.TooFewVoters(
                "expected 5 committed voters that are spread over data centres, found "
                    + "a=1@dc-a,b=2@dc-b,c=3@dc-c/"));
  }

  @Test
  void shouldTakeTheFirstCommandOnceTheAddedVotersAreCommitted() {
    leadWith(List.of());
    LEARNERS.forEach(learner -> step(received(learner, new Message.Hello(false, 1, "dc-d"))));
    for (int i = 0; i < 8; i++) {
      replyFromAll();
    }

    step(new Event.Propose(1, COMMAND));

    assertThat(core.view().voters().incarnations().keySet())
        .containsExactly("a", "b", "c", "d", "e");
    assertThat(core.view().voters().isJoint()).isFalse();
    assertThat(failures()).isEmpty();
  }

  @Test
  void shouldTakeTheFirstCommandWithFewerVotersAfterALimitedWait() {
    leadWith(List.of());
    for (int i = 0; i < 20; i++) {
      nowNanos += TIMING.electionTimeoutMinNanos();
      replyFromAll();
    }

    step(new Event.Propose(1, COMMAND));

    assertThat(failures()).isEmpty();
  }

  @Test
  void shouldTakeFurtherCommandsWhateverTheVoters() {
    leadWith(List.of(new LogEntry(1, 1, EntryKind.COMMAND, COMMAND)));

    step(new Event.Propose(1, COMMAND));

    assertThat(failures()).isEmpty();
  }

  private void leadWith(List<LogEntry> entries) {
    core =
        new QuorumCore(
            new RecoveredState(
                A, 1, null, new SnapshotImage(0, 0, GROUP, FOUNDERS, new byte[0]), entries),
            new MembershipPolicy(
                Set.of("a", "b", "c"), true, true, new LossTolerance(2, 1), "dc-a"),
            TIMING,
            new Random(1),
            0);
    nowNanos = 2 * TIMING.heartbeatNanos();
    step();
    ReplicaId other = FOUNDERS_BUT_A.get(0);
    step(received(other, TERM - 1, new Message.PreVoteReply(TERM, true)));
    step(new Event.VoteSynced(1), received(other, new Message.VoteReply(true)));
    replyFromAll();
    assertThat(core.view().established()).isTrue();
    effects.clear();
  }

  /** All other replicas have synced the leader's log. */
  private void replyFromAll() {
    long last = core.view().lastIndex();
    Message reply = new Message.AppendReply(true, last, last, 0, 0, false);
    FOUNDERS_BUT_A.forEach(replica -> step(received(replica, reply)));
    LEARNERS.forEach(replica -> step(received(replica, reply)));
  }

  private void step(Event... events) {
    nowNanos++;
    effects.addAll(core.step(new ArrayList<>(List.of(events)), nowNanos));
  }

  private List<Effect> failures() {
    return effects.stream().filter(effect -> effect instanceof Effect.Fail).toList();
  }

  private static Event received(ReplicaId from, Message message) {
    return received(from, TERM, message);
  }

  private static Event received(ReplicaId from, long term, Message message) {
    return new Event.Received(new Packet(from, "", Packet.ANY_INCARNATION, GROUP, term, message));
  }
}
