package org.cuminrack.control;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.rollout.AdvanceRollout;
import org.cuminrack.generated.rollout.StartResult;
import org.cuminrack.generated.rollout.StartRollout;
import org.cuminrack.generated.rollout.StartVerdictData;
import org.cuminrack.quorum.AppliedProposal;
import org.cuminrack.quorum.ProposalFailure;
import org.cuminrack.quorum.ReplicatedLog;
import org.cuminrack.rollout.RolloutDecision;
import org.cuminrack.rollout.RolloutStep;
import org.cuminrack.rollout.VersionRollout;
import org.cuminrack.time.Clock;

/** Starts, advances and reads replicated roll-outs; succeeds only on the leader. */
public final class RolloutControl {
  /** A healthy quorum confirms within two round trips; operators resend after one second. */
  private static final Duration READ_TIMEOUT = Duration.ofMillis(900);

  private final ReplicatedLog log;
  private final ControlState state;
  private final Proposer proposer;
  private final Leadership leadership;
  private final Clock clock;

  public RolloutControl(ReplicatedLog log, ControlState state, Clock clock) {
    this.log = log;
    this.state = state;
    this.clock = clock;
    this.leadership =
        new Leadership(log, state, LeaseSettings.standard(), RenewalExchange.none(), clock);
    this.proposer = new Proposer(log, leadership);
  }

  /**
   * Orders a roll-out; the verdict says whether it started.
   *
   * @param versions the versions of the service's upstreams
   */
  public CompletableFuture<Either<ProposalFailure, StartVerdictData>> start(
      String service, String to, Set<String> versions, Duration duration) {
    StartRollout order =
        StartRollout.newBuilder()
            .setService(service)
            .setTo(to)
            .addAllFrom(versions.stream().sorted().toList())
            .setDurationMillis(duration.toMillis())
            .setSharePerMille(RolloutCodec.perMille(RolloutDecision.TRIAL_SHARE))
            .build();
    return proposer
        .propose(Command.newBuilder().setStartRollout(order))
        .thenApply(outcome -> outcome.map(RolloutControl::verdict));
  }

  /** Applies a step to a roll-out. */
  CompletableFuture<Either<ProposalFailure, AppliedProposal>> advance(
      VersionRollout rollout, RolloutStep step) {
    AdvanceRollout advance =
        AdvanceRollout.newBuilder()
            .setService(rollout.service())
            .setId(rollout.id())
            .setStage(RolloutCodec.data(step.stage()))
            .setSharePerMille(RolloutCodec.perMille(step.share()))
            .setUpstreams(step.upstreams())
            .setEndedWallMillis(step.stage().isRunning() ? 0 : clock.now().toEpochMilli())
            .setReason(step.reason())
            .build();
    return proposer.propose(Command.newBuilder().setAdvanceRollout(advance));
  }

  /** Returns the replicated time; empty if this VM does not lead. */
  Optional<Long> leaderMillis() {
    return leadership.term().map(term -> term.clock().nowMillis());
  }

  /** Returns the last roll-out of a service after a quorum has confirmed this VM's leadership. */
  public CompletableFuture<Either<ProposalFailure, Optional<VersionRollout>>> read(String service) {
    return log.confirmLeadership(READ_TIMEOUT)
        .thenApply(confirmed -> confirmed.map(index -> applied(service)));
  }

  private Optional<VersionRollout> applied(String service) {
    return state.routing().getRolloutsList().stream()
        .filter(rollout -> rollout.getService().equals(service))
        .findFirst()
        .map(RolloutCodec::rollout);
  }

  private static StartVerdictData verdict(AppliedProposal applied) {
    try {
      return StartResult.parseFrom(applied.result()).getVerdict();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("result of the StartRollout command can't be parsed", e);
    }
  }

  /** Returns the roll-outs that this VM has applied, which may be behind the latest. */
  public List<VersionRollout> applied() {
    return state.routing().getRolloutsList().stream().map(RolloutCodec::rollout).toList();
  }
}
