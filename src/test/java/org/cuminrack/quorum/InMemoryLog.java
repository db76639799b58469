package org.cuminrack.quorum;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A log without disks or messages: every proposal is applied on all replicas immediately. */
public final class InMemoryLog {
  private final List<byte[]> commands = new ArrayList<>();
  private final List<Replica> replicas = new ArrayList<>();
  private String leader = "";
  private long term;
  private boolean losesReplies;

  /** Adds a replica and applies all commands committed so far to it. */
  public synchronized Replica addReplica(String name, StateMachine machine) {
    Replica replica = new Replica(name, machine);
    replicas.add(replica);
    for (int i = 0; i < commands.size(); i++) {
      machine.apply(i + 1L, commands.get(i));
    }
    return replica;
  }

  /**
   * Starts a new term with a leader, or without one if the name is empty; commits an empty command.
   */
  public synchronized void startTerm(String leaderName) {
    term++;
    leader = leaderName;
    commit(new byte[0]);
  }

  /** Sets whether the outcome of each committed command is reported as unknown to its proposer. */
  public synchronized void setLosesReplies(boolean enabled) {
    losesReplies = enabled;
  }

  /** Returns all committed commands. */
  public synchronized List<byte[]> commands() {
    return List.copyOf(commands);
  }

  private byte[] commit(byte[] command) {
    commands.add(command);
    byte[] result = new byte[0];
    for (Replica replica : replicas) {
      byte[] machineResult = replica.machine.apply(commands.size(), command);
      if (replica.name.equals(leader)) {
        result = machineResult;
      }
    }
    return result;
  }

  /** The log as seen by one VM. */
  public final class Replica implements ReplicatedLog {
    private final String name;
    private final StateMachine machine;

    private Replica(String name, StateMachine machine) {
      this.name = name;
      this.machine = machine;
    }

    @Override
    public CompletableFuture<Either<ProposalFailure, AppliedProposal>> propose(
        byte[] command, Duration timeout) {
      synchronized (InMemoryLog.this) {
        if (!isLeader()) {
          return CompletableFuture.completedFuture(
              Either.left(new ProposalFailure.NotLeader(leader)));
        }
        byte[] result = commit(command);
        return CompletableFuture.completedFuture(
            losesReplies
                ? Either.left(new ProposalFailure.OutcomeUnknown("reply lost"))
                : Either.right(new AppliedProposal(commands.size(), result)));
      }
    }

    @Override
    public CompletableFuture<Either<ProposalFailure, Long>> confirmLeadership(Duration timeout) {
      synchronized (InMemoryLog.this) {
        return CompletableFuture.completedFuture(
            isLeader()
                ? Either.right((long) commands.size())
                : Either.left(new ProposalFailure.NotLeader(leader)));
      }
    }

    @Override
    public boolean isLeader() {
      synchronized (InMemoryLog.this) {
        return name.equals(leader);
      }
    }

    @Override
    public long term() {
      synchronized (InMemoryLog.this) {
        return term;
      }
    }

    @Override
    public String leader() {
      synchronized (InMemoryLog.this) {
        return leader;
      }
    }
  }
}
