package org.cuminrack.control;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.generated.control.ChangeRequest;
import org.cuminrack.generated.control.ChangeVerdict;
import org.cuminrack.generated.control.ClaimReply;
import org.cuminrack.generated.control.ClaimRequest;
import org.cuminrack.generated.control.ClaimState;
import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.control.CrashRequest;
import org.cuminrack.generated.control.EndSession;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.MemberData;
import org.cuminrack.generated.control.OpenSessionReply;
import org.cuminrack.generated.control.OpenSessionRequest;
import org.cuminrack.generated.control.RevisionResult;
import org.cuminrack.generated.control.RoutingData;
import org.cuminrack.generated.control.SetEvacuation;
import org.cuminrack.generated.control.SnapshotData;
import org.cuminrack.generated.control.Verdict;
import org.cuminrack.ledger.LedgerLimits;
import org.cuminrack.quorum.StateMachine;

/**
 * The replicated state: configuration, sessions, suspects and the call ledger. The revision is the
 * log index of the last change that entries have to know of; calls in the ledger do not move it.
 * Safe for use by many threads: one lock over everything.
 */
public final class ControlState implements StateMachine {
  private final StateTables tables;
  private final StateHistory history = new StateHistory();
  private volatile Runnable revisionListener = () -> {};
  private volatile Runnable routingListener = () -> {};
  private long timeMillis;
  private long revision;
  private long epoch;

  public ControlState() {
    this(LedgerLimits.standard());
  }

  public ControlState(LedgerLimits limits) {
    tables = new StateTables(limits);
  }

  /** Calls back, on the log's thread, after the revision moved. */
  public void onRevision(Runnable listener) {
    revisionListener = listener;
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    long before = revision();
    long routingBefore = routing().getRevision();
    byte[] result = applyLocked(index, parse(command)).toByteArray();
    if (revision() != before) {
      revisionListener.run();
    }
    if (routing().getRevision() != routingBefore) {
      routingListener.run();
    }
    return result;
  }

  private synchronized MessageLite applyLocked(long index, Command command) {
    timeMillis = Math.max(timeMillis, command.getTimeMillis());
    expire(index);
    return switch (command.getBodyCase()) {
      case CHANGE -> change(index, command.getChange());
      case OPEN_SESSION -> openSession(index, command.getOpenSession());
      case END_SESSION -> endSession(index, command.getEndSession());
      case MARK_STOPPING -> markStopping(index, command.getMarkStopping().getSessionId());
      case CLAIM -> claim(index, command.getClaim());
      case FINISH -> tables.ledger.finish(command.getFinish(), timeMillis);
      case CRASH -> crash(index, command.getCrash());
      case CLEAR_SUSPECT -> clearSuspect(index, command.getClearSuspect().getFingerprint());
      case PUT_ROUTING -> tables.routing.put(index, command.getPutRouting());
      case SET_EVACUATION -> evacuate(index, command.getSetEvacuation());
      default -> at(index);
    };
  }

  private RevisionResult evacuate(long index, SetEvacuation request) {
    tables.routing.evacuate(index, request);
    return at(index);
  }

  private ChangeVerdict change(long index, ChangeRequest request) {
    Optional<ChangeVerdict> first = tables.verdicts.find(request);
    if (first.isPresent()) {
      return first.get();
    }
    ChangeVerdict verdict = tables.config.change(index, request);
    tables.verdicts.keep(request, verdict);
    if (verdict.getVerdict() == Verdict.ACCEPTED) {
      List<ConfigKey> keys =
          request.getChangesList().stream()
              .map(each -> new ConfigKey(ConfigCodec.kind(each.getKind()).get(), each.getName()))
              .collect(Collectors.toList());
      moveTo(index, StateHistory.Step.ofKeys(index, keys));
    }
    return verdict;
  }

  private OpenSessionReply openSession(long index, OpenSessionRequest request) {
    Optional<Long> known = tables.sessions.opened(request.getToken());
    if (known.isEmpty()) {
      if (request.getReplaces() != 0) {
        end(index, request.getReplaces());
      }
      tables.sessions.open(index, request);
      membersChanged(index, index);
    }
    return OpenSessionReply.newBuilder().setSessionId(known.orElse(index)).build();
  }

  private RevisionResult endSession(long index, EndSession request) {
    end(index, request.getSessionId());
    return at(index);
  }

  private void end(long index, long sessionId) {
    if (tables.sessions.end(sessionId)) {
      tables.ledger.endSession(sessionId, timeMillis);
      membersChanged(index, sessionId);
    }
  }

  private RevisionResult markStopping(long index, long sessionId) {
    if (tables.sessions.markStopping(sessionId)) {
      membersChanged(index, sessionId);
    }
    return at(index);
  }

  private ClaimReply claim(long index, ClaimRequest request) {
    if (!tables.sessions.isOpen(request.getSessionId())) {
      return ClaimReply.newBuilder()
          .setState(ClaimState.UNAVAILABLE)
          .setDetail("session " + request.getSessionId() + " has ended")
          .build();
    }
    return tables.ledger.claim(index, request, timeMillis);
  }

  // A crash that was counted before answers the revision that is known to hold it.
  private RevisionResult crash(long index, CrashRequest request) {
    suspectsChanged(index, tables.suspects.report(request, timeMillis));
    return at(revision);
  }

  private RevisionResult clearSuspect(long index, String fingerprint) {
    if (tables.suspects.clear(fingerprint)) {
      suspectsChanged(index, List.of(fingerprint));
    }
    return at(index);
  }

  private void expire(long index) {
    tables.ledger.expire(timeMillis);
    suspectsChanged(index, tables.suspects.expire(timeMillis));
  }

  private void membersChanged(long index, long sessionId) {
    epoch = index;
    moveTo(index, StateHistory.Step.ofSessions(index, List.of(sessionId)));
  }

  private void suspectsChanged(long index, List<String> fingerprints) {
    if (!fingerprints.isEmpty()) {
      moveTo(index, StateHistory.Step.ofFingerprints(index, fingerprints));
    }
  }

  private void moveTo(long index, StateHistory.Step step) {
    revision = index;
    history.add(step);
  }

  private static RevisionResult at(long index) {
    return RevisionResult.newBuilder().setRevision(index).build();
  }

  /** Returns the index of the last change that entries have to know of. */
  public synchronized long revision() {
    return revision;
  }

  /** Returns the time of the state: that of the last command, by its leader's reckoning. */
  public synchronized long timeMillis() {
    return timeMillis;
  }

  /** Returns every open session, ordered by id. */
  public synchronized List<MemberData> members() {
    return tables.sessions.members();
  }

  /** Tells whether a session is open. */
  public synchronized boolean isOpen(long sessionId) {
    return tables.sessions.isOpen(sessionId);
  }

  /** Tells whether something could be dropped, were the state's time this. */
  public synchronized boolean hasExpired(long atMillis) {
    return tables.ledger.hasExpired(atMillis) || tables.suspects.hasExpired(atMillis);
  }

  /** Returns how many calls the ledger remembers. */
  public synchronized int ledgerCalls() {
    return tables.ledger.size();
  }

  /** Returns the routing document in force and the evacuated data centres. */
  public synchronized RoutingData routing() {
    return tables.routing.data();
  }

  /** Calls back, on the log's thread, after the routing document or an evacuation changed. */
  public void onRouting(Runnable listener) {
    routingListener = listener;
  }

  /** Returns what changed after a revision, or the whole state where that is not known. */
  public synchronized FetchReply changesAfter(long after) {
    FetchReply.Builder reply = FetchReply.newBuilder().setRevision(revision).setEpoch(epoch);
    return new ChangeReader(tables, history).read(after, reply);
  }

  @Override
  public synchronized byte[] snapshot() {
    SnapshotData.Builder data = SnapshotData.newBuilder();
    data.setTimeMillis(timeMillis).setRevision(revision).setEpoch(epoch);
    tables.save(data);
    return data.build().toByteArray();
  }

  @Override
  public void restore(long index, byte[] snapshot) {
    restoreLocked(snapshot);
    revisionListener.run();
    routingListener.run();
  }

  private synchronized void restoreLocked(byte[] snapshot) {
    SnapshotData data;
    try {
      data = SnapshotData.parseFrom(snapshot);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("expected a snapshot of the control state", e);
    }
    timeMillis = data.getTimeMillis();
    revision = data.getRevision();
    epoch = data.getEpoch();
    tables.restore(data);
    history.reset(revision);
  }

  // A command that can't be read changes nothing, on every replica alike.
  private static Command parse(byte[] command) {
    try {
      return Command.parseFrom(command);
    } catch (InvalidProtocolBufferException e) {
      return Command.getDefaultInstance();
    }
  }
}
