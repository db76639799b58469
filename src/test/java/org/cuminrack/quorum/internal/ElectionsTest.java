package org.cuminrack.quorum.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ElectionsTest {
  private static final Timing TIMING = SimulatedVm.TIMING;
  private static final ReplicaId A = new ReplicaId("a", 1);
  private static final ReplicaId B = new ReplicaId("b", 2);
  private static final VoterSet VOTERS = VoterSet.of(Map.of("a", 1L, "b", 2L, "c", 3L));
  private static final long GROUP = 1;

  private final QuorumCore core = restartedCore(A);

  @Test
  void shouldRequestPreVotesSoonAfterARestart() {
    assertThat(stepAndCountPreVoteRequests(2 * TIMING.heartbeatNanos())).isEqualTo(2);
  }

  @Test
  void shouldRepeatPreVoteRequestsWithoutReplies() {
    stepAndCountPreVoteRequests(2 * TIMING.heartbeatNanos());

    assertThat(core.nextDeadlineNanos()).isAtMost(4 * TIMING.heartbeatNanos());
    assertThat(stepAndCountPreVoteRequests(4 * TIMING.heartbeatNanos())).isEqualTo(2);
    assertThat(core.view().term()).isEqualTo(1);
  }

  @Test
  void shouldBecomeCandidateOnceAQuorumGrantsTheSecondPreVote() {
    stepAndCountPreVoteRequests(2 * TIMING.heartbeatNanos());
    stepAndCountPreVoteRequests(4 * TIMING.heartbeatNanos());
    Packet granted =
        new Packet(B, "", Packet.ANY_INCARNATION, GROUP, 1, new Message.PreVoteReply(2, true));

    core.step(List.of(new Event.Received(granted)), 4 * TIMING.heartbeatNanos() + 1);

    assertThat(core.view().role()).isEqualTo(Role.CANDIDATE);
    assertThat(core.view().term()).isEqualTo(2);
  }

  @Test
  void shouldYieldToAVoterWhoseNameSortsFirst() {
    QuorumCore coreOfB = restartedCore(B);
    long requestedNanos = 2 * TIMING.heartbeatNanos();
    coreOfB.step(List.of(), requestedNanos);

    coreOfB.step(List.of(preVoteRequestFrom(A)), requestedNanos + 1);

    assertThat(coreOfB.view().role()).isEqualTo(Role.FOLLOWER);
  }

  @Test
  void shouldNotYieldToAVoterWhoseNameSortsLater() {
    long requestedNanos = 2 * TIMING.heartbeatNanos();
    stepAndCountPreVoteRequests(requestedNanos);

    core.step(List.of(preVoteRequestFrom(B)), requestedNanos + 1);

    assertThat(core.view().role()).isEqualTo(Role.PRE_CANDIDATE);
  }

  @Test
  void shouldYieldOnlyOnceWithoutALeader() {
    QuorumCore coreOfB = restartedCore(B);
    long requestedNanos = 2 * TIMING.heartbeatNanos();
    coreOfB.step(List.of(), requestedNanos);
    coreOfB.step(List.of(preVoteRequestFrom(A)), requestedNanos + 1);
    long requestedAgainNanos = requestedNanos + 1 + TIMING.electionTimeoutMaxNanos();
    coreOfB.step(List.of(), requestedAgainNanos);

    coreOfB.step(List.of(preVoteRequestFrom(A)), requestedAgainNanos + 1);

    assertThat(coreOfB.view().role()).isEqualTo(Role.PRE_CANDIDATE);
  }

  private static Event preVoteRequestFrom(ReplicaId from) {
    return new Event.Received(
        new Packet(
            from, "", Packet.ANY_INCARNATION, GROUP, 1, new Message.PreVoteRequest(2, 20, 1)));
  }

  private long stepAndCountPreVoteRequests(long nowNanos) {
    return core.step(List.of(), nowNanos).stream()
        .filter(effect -> effect instanceof Effect.Send)
        .map(effect -> ((Effect.Send) effect).packet().message())
        .filter(message -> message instanceof Message.PreVoteRequest)
        .count();
  }

  private static QuorumCore restartedCore(ReplicaId self) {
    SnapshotImage snapshot = new SnapshotImage(20, 1, GROUP, VOTERS, new byte[8]);
    return new QuorumCore(
        new RecoveredState(self, 1, null, snapshot, List.of()),
        MembershipPolicy.closed(Set.of("a", "b", "c")),
        TIMING,
        new Random(1),
        0);
  }
}
