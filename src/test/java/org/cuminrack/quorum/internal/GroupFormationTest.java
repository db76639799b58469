package org.cuminrack.quorum.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class GroupFormationTest {
  private static final Timing TIMING = SimulatedVm.TIMING;
  private static final Set<String> VMS = Set.of("a", "b", "c");
  private static final ReplicaId A = new ReplicaId("a", 1);
  private static final ReplicaId B = new ReplicaId("b", 2);
  private static final ReplicaId C = new ReplicaId("c", 3);
  private static final VoterSet VOTERS = VoterSet.of(Map.of("a", 1L, "b", 2L, "c", 3L));
  private static final long GROUP = 1;

  @Test
  void shouldFormAGroupOnceAllOtherFoundersReportBlank() {
    QuorumCore core = core(RecoveredState.blank(A));
    long round = roundOf(core.step(List.of(), 0));

    core.step(List.of(reply(B, true, round)), 1);
    assertThat(core.view().role()).isEqualTo(Role.BLANK);
    core.step(List.of(reply(C, true, round)), 2);

    assertThat(core.view().voters()).isEqualTo(VOTERS);
  }

  @Test
  void shouldNotFormAGroupIfAFounderHasALog() {
    QuorumCore core = core(RecoveredState.blank(A));
    long round = roundOf(core.step(List.of(), 0));

    core.step(List.of(reply(B, true, round), reply(C, false, round)), 1);

    assertThat(core.view().role()).isEqualTo(Role.BLANK);
  }

  @Test
  void shouldNotFormAGroupOnAReplyToAnEarlierRound() {
    QuorumCore core = core(RecoveredState.blank(A));
    long first = roundOf(core.step(List.of(), 0));
    long second = roundOf(core.step(List.of(), TIMING.electionTimeoutMaxNanos()));

    core.step(List.of(reply(B, true, first), reply(C, true, second)), 1);

    assertThat(core.view().role()).isEqualTo(Role.BLANK);
  }

  @Test
  void shouldSendTheVotersToABlankVoterWithoutALeader() {
    SnapshotImage snapshot = new SnapshotImage(20, 1, GROUP, VOTERS, new byte[8]);
    QuorumCore core = core(new RecoveredState(A, 1, null, snapshot, List.of()));

    List<Effect> effects = core.step(List.of(received(B, 0, new Message.Hello(true, 7, ""))), 0);

    assertThat(messagesOf(effects)).contains(new Message.FormGroup(VOTERS));
  }

  @Test
  void shouldNotSendTheVotersToAVoterWithANewDisk() {
    SnapshotImage snapshot = new SnapshotImage(20, 1, GROUP, VOTERS, new byte[8]);
    QuorumCore core = core(new RecoveredState(A, 1, null, snapshot, List.of()));
    ReplicaId wiped = new ReplicaId("b", 99);

    List<Effect> effects =
        core.step(List.of(received(wiped, 0, new Message.Hello(true, 7, ""))), 0);

    assertThat(messagesOf(effects)).doesNotContain(new Message.FormGroup(VOTERS));
  }

  @Test
  void shouldNotFormAGroupOnAReplacementVm() {
    QuorumCore core =
        new QuorumCore(
            RecoveredState.blank(A),
            new MembershipPolicy(VMS, true, false),
            TIMING,
            new Random(1),
            0);
    long round = roundOf(core.step(List.of(), 0));

    core.step(List.of(reply(B, true, round), reply(C, true, round)), 1);

    assertThat(core.view().role()).isEqualTo(Role.BLANK);
  }

  @Test
  void shouldNotCountAnUnknownVmAsAFounder() {
    QuorumCore core =
        new QuorumCore(
            RecoveredState.blank(A),
            new MembershipPolicy(VMS, true, true),
            TIMING,
            new Random(1),
            0);
    long round = roundOf(core.step(List.of(), 0));

    core.step(List.of(reply(B, true, round), reply(new ReplicaId("d", 4), true, round)), 1);

    assertThat(core.view().role()).isEqualTo(Role.BLANK);
  }

  @Test
  void shouldContactTheVotersReportedByAFounder() {
    ReplicaId newVm = new ReplicaId("d", 4);
    QuorumCore core =
        new QuorumCore(
            RecoveredState.blank(newVm),
            new MembershipPolicy(VMS, true, false),
            TIMING,
            new Random(1),
            0);
    core.step(List.of(), 0);
    VoterSet others = VoterSet.of(Map.of("a", 1L, "e", 5L));

    core.step(List.of(received(A, GROUP, new Message.FormGroup(others))), 1);
    List<Effect> effects = core.step(List.of(), 2 * TIMING.electionTimeoutMaxNanos());

    assertThat(
            effects.stream()
                .filter(effect -> effect instanceof Effect.Send)
                .map(effect -> ((Effect.Send) effect).packet().toVm())
                .toList())
        .contains("e");
  }

  @Test
  void shouldNotVoteWhileBlank() {
    QuorumCore core = core(RecoveredState.blank(B));

    List<Effect> effects = core.step(List.of(received(A, GROUP, new Message.VoteRequest(5, 1))), 0);

    assertThat(core.view().term()).isEqualTo(0);
    assertThat(
            messagesOf(effects).stream().noneMatch(message -> message instanceof Message.VoteReply))
        .isTrue();
  }

  /** Callers were redirected to a leader that was gone. */
  @Test
  void shouldForgetASilentLeaderOnAReplicaThatDoesNotVote() {
    QuorumCore core = openCore(RecoveredState.blank(new ReplicaId("d", 4)));
    SnapshotImage image = new SnapshotImage(20, 1, GROUP, VOTERS, new byte[8]);
    core.step(List.of(received(A, GROUP, new Message.SnapshotPart(image, 0, 8, 0))), 1);
    assertThat(core.view().leader()).isEqualTo("a");

    core.step(List.of(), 2 * TIMING.electionTimeoutMaxNanos());

    assertThat(core.view().leader()).isEmpty();
  }

  /** A replica whose known voters had been replaced never found the leader again. */
  @Test
  void shouldSendTheVotersToAReplicaWithAnOldLog() {
    SnapshotImage snapshot = new SnapshotImage(20, 1, GROUP, VOTERS, new byte[8]);
    QuorumCore core = openCore(new RecoveredState(A, 1, null, snapshot, List.of()));
    Message hello = new Message.Hello(false, 7, "");

    List<Effect> effects = core.step(List.of(received(new ReplicaId("d", 4), GROUP, hello)), 0);

    assertThat(messagesOf(effects)).contains(new Message.FormGroup(VOTERS));
  }

  @Test
  void shouldContactTheReportedVotersDespiteAnOldLog() {
    SnapshotImage old = new SnapshotImage(0, 0, GROUP, VOTERS, new byte[0]);
    QuorumCore core = openCore(new RecoveredState(new ReplicaId("d", 4), 1, null, old, List.of()));
    VoterSet others = VoterSet.of(Map.of("a", 1L, "e", 5L));

    core.step(List.of(received(A, GROUP, new Message.FormGroup(others))), 1);
    List<Effect> effects = core.step(List.of(), 2 * TIMING.electionTimeoutMaxNanos());

    assertThat(receiversOf(effects)).contains("e");
    assertThat(core.view().voters()).isEqualTo(VOTERS);
  }

  /** The founder could lose the group in a power loss and form it again over committed commands. */
  @Test
  void shouldNotSendTheVotersBeforeTheyAreSynced() {
    QuorumCore core = core(RecoveredState.blank(A));
    long round = roundOf(core.step(List.of(), 0));
    Event hello = received(B, 0, new Message.Hello(true, 7, ""));

    List<Effect> unsynced =
        core.step(List.of(reply(B, true, round), reply(C, true, round), hello), 1);
    List<Effect> synced = core.step(List.of(new Event.LogSynced(1, 0), hello), 2);

    assertThat(core.view().voters()).isEqualTo(VOTERS);
    assertThat(messagesOf(unsynced)).doesNotContain(new Message.FormGroup(VOTERS));
    assertThat(messagesOf(synced)).contains(new Message.FormGroup(VOTERS));
  }

  /** A blank voter that knows only lost founders never took part in the election. */
  @Test
  void shouldSendTheVotersToABlankVoterThatItFinds() {
    SnapshotImage snapshot = new SnapshotImage(20, 1, GROUP, VOTERS, new byte[8]);
    QuorumCore core = core(new RecoveredState(A, 1, null, snapshot, List.of()));

    List<Effect> effects = core.step(List.of(reply(B, true, 7)), 0);

    assertThat(messagesOf(effects)).contains(new Message.FormGroup(VOTERS));
  }

  private static QuorumCore openCore(RecoveredState recovered) {
    return new QuorumCore(
        recovered, new MembershipPolicy(VMS, true, false), TIMING, new Random(1), 0);
  }

  private static List<String> receiversOf(List<Effect> effects) {
    return effects.stream()
        .filter(effect -> effect instanceof Effect.Send)
        .map(effect -> ((Effect.Send) effect).packet().toVm())
        .toList();
  }

  private static QuorumCore core(RecoveredState recovered) {
    return new QuorumCore(recovered, MembershipPolicy.closed(VMS), TIMING, new Random(1), 0);
  }

  private static Event reply(ReplicaId from, boolean blank, long round) {
    return received(from, 0, new Message.HelloReply(blank, round, ""));
  }

  private static Event received(ReplicaId from, long groupId, Message message) {
    return new Event.Received(new Packet(from, "", Packet.ANY_INCARNATION, groupId, 1, message));
  }

  private static long roundOf(List<Effect> effects) {
    return messagesOf(effects).stream()
        .filter(message -> message instanceof Message.Hello)
        .map(message -> ((Message.Hello) message).round())
        .findFirst()
        .orElseThrow();
  }

  private static List<Message> messagesOf(List<Effect> effects) {
    return effects.stream()
        .filter(effect -> effect instanceof Effect.Send)
        .map(effect -> ((Effect.Send) effect).packet().message())
        .toList();
  }
}
