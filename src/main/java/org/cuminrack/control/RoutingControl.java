package org.cuminrack.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.control.PutRouting;
import org.cuminrack.generated.control.PutRoutingResult;
import org.cuminrack.generated.control.RoutingData;
import org.cuminrack.generated.control.RoutingVerdict;
import org.cuminrack.generated.control.SetEvacuation;
import org.cuminrack.quorum.AppliedProposal;
import org.cuminrack.quorum.ProposalFailure;
import org.cuminrack.quorum.ReplicatedLog;
import org.cuminrack.time.Clock;

/** Changes and reads the replicated routing; succeeds only on the leader. */
public final class RoutingControl {
  /** A healthy quorum confirms within two round trips; operators resend after one second. */
  private static final Duration READ_TIMEOUT = Duration.ofMillis(900);

  private final ReplicatedLog log;
  private final ControlState state;
  private final Proposer proposer;

  public RoutingControl(ReplicatedLog log, ControlState state, Clock clock) {
    this.log = log;
    this.state = state;
    this.proposer =
        new Proposer(
            log,
            new Leadership(log, state, LeaseSettings.standard(), RenewalExchange.none(), clock));
  }

  /** Returns whether this VM is the leader. */
  public boolean isLeader() {
    return log.isLeader();
  }

  /** Returns the name of the leader as far as this VM knows; empty if unknown. */
  public String leader() {
    return log.leader();
  }

  /** Stores a routing document under its version; the verdict says whether it was stored. */
  public CompletableFuture<Either<ProposalFailure, RoutingVerdict>> put(
      long version, byte[] document) {
    PutRouting put =
        PutRouting.newBuilder()
            .setVersion(version)
            .setDocument(ByteString.copyFrom(document))
            .build();
    return proposer
        .propose(Command.newBuilder().setPutRouting(put))
        .thenApply(outcome -> outcome.map(RoutingControl::verdict));
  }

  /** Begins or ends the evacuation of a data centre. */
  public CompletableFuture<Either<ProposalFailure, AppliedProposal>> setEvacuated(
      String dataCentre, boolean evacuated) {
    SetEvacuation set =
        SetEvacuation.newBuilder().setDataCentre(dataCentre).setEvacuated(evacuated).build();
    return proposer.propose(Command.newBuilder().setSetEvacuation(set));
  }

  /** Returns the routing that this VM has applied, which may be behind the latest. */
  public RoutingData applied() {
    return state.routing();
  }

  /** Returns the latest routing after a quorum has confirmed this VM's leadership. */
  public CompletableFuture<Either<ProposalFailure, RoutingData>> read() {
    return log.confirmLeadership(READ_TIMEOUT)
        .thenApply(confirmed -> confirmed.map(index -> state.routing()));
  }

  private static RoutingVerdict verdict(AppliedProposal applied) {
    try {
      return PutRoutingResult.parseFrom(applied.result()).getVerdict();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("result of the PutRouting command can't be parsed", e);
    }
  }
}
