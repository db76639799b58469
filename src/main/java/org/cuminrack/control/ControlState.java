package org.cuminrack.control;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.generated.control.ChangeRequest;
import org.cuminrack.generated.control.ChangeVerdict;
import org.cuminrack.generated.control.ClaimReply;
import org.cuminrack.generated.control.ClaimRequest;
import org.cuminrack.generated.control.ClaimState;
import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.control.CrashRequest;
import org.cuminrack.generated.control.DepartureData;
import org.cuminrack.generated.control.DepartureRequest;
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
 * log index of the last change that entries must apply; calls in the ledger do not advance it.
 * Thread-safe: one lock guards all state.
 */
public final class ControlState implements StateMachine {
  private final StateTables tables;
  private final StateHistory history = new StateHistory();
  private final StateListeners listeners = new StateListeners();
  private long suspectsRevision;
  private long timeMillis;
  private long revision;
  private long epoch;

  public ControlState() {
    this(LedgerLimits.standard());
  }

  public ControlState(LedgerLimits limits) {
    tables = new StateTables(limits);
  }

  /** Sets a listener that runs on the log's thread after the revision has advanced. */
  public void onRevisionChange(Runnable listener) {
    listeners.onRevision(listener);
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    Command parsed = parse(command);
    StateListeners.Versions before = versions();
    byte[] result = applyLocked(index, parsed).toByteArray();
    listeners.runChanged(before, versions());
    if (parsed.hasDeparture()) {
      listeners.departed(parsed.getDeparture());
    }
    return result;
  }

  private synchronized StateListeners.Versions versions() {
    return new StateListeners.Versions(revision, tables.routing.revision(), suspectsRevision);
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
      case TRIAL -> tables.suspects.tryAgain(command.getTrial(), timeMillis);
      case PUT_ROUTING -> tables.routing.put(index, command.getPutRouting());
      case SET_EVACUATION -> setEvacuation(index, command.getSetEvacuation());
      case START_ROLLOUT ->
          tables.routing.startRollout(index, command.getStartRollout(), timeMillis);
      case DEPARTURE -> departure(index, command.getDeparture());
      case ADVANCE_ROLLOUT -> tables.routing.advanceRollout(index, command.getAdvanceRollout());
      default -> revisionResult(index);
    };
  }

  private RevisionResult setEvacuation(long index, SetEvacuation request) {
    tables.routing.setEvacuation(index, request);
    return revisionResult(index);
  }

  private RevisionResult departure(long index, DepartureRequest request) {
    tables.departures.record(request, timeMillis);
    return revisionResult(index);
  }

  private ChangeVerdict change(long index, ChangeRequest request) {
    Optional<ChangeVerdict> original = tables.verdicts.find(request);
    if (original.isPresent()) {
      return original.get();
    }
    ChangeVerdict verdict = tables.config.apply(index, request);
    tables.verdicts.put(request, verdict);
    if (verdict.getVerdict() == Verdict.ACCEPTED) {
      List<ConfigKey> keys =
          request.getChangesList().stream()
              .map(
                  change ->
                      new ConfigKey(ConfigCodec.findKind(change.getKind()).get(), change.getName()))
              .collect(Collectors.toList());
      advanceRevision(index, StateHistory.RevisionChange.ofKeys(index, keys));
    }
    return verdict;
  }

  private OpenSessionReply openSession(long index, OpenSessionRequest request) {
    Optional<Long> existingId = tables.sessions.findByToken(request.getToken());
    if (existingId.isEmpty()) {
      if (request.getReplaces() != 0) {
        endIfOpen(index, request.getReplaces());
      }
      tables.sessions.open(index, request);
      membersChanged(index, index);
    }
    return OpenSessionReply.newBuilder().setSessionId(existingId.orElse(index)).build();
  }

  private RevisionResult endSession(long index, EndSession request) {
    endIfOpen(index, request.getSessionId());
    return revisionResult(index);
  }

  private void endIfOpen(long index, long sessionId) {
    if (tables.sessions.end(sessionId)) {
      tables.ledger.endSession(sessionId, timeMillis);
      membersChanged(index, sessionId);
    }
  }

  private RevisionResult markStopping(long index, long sessionId) {
    if (tables.sessions.markStopping(sessionId)) {
      membersChanged(index, sessionId);
    }
    return revisionResult(index);
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

  // For a crash that is already counted, this returns the current revision, which includes it.
  private RevisionResult crash(long index, CrashRequest request) {
    suspectsChanged(index, tables.suspects.report(request, timeMillis));
    return revisionResult(revision);
  }

  private RevisionResult clearSuspect(long index, String fingerprint) {
    suspectsChanged(index, tables.suspects.clear(fingerprint));
    return revisionResult(index);
  }

  private void expire(long index) {
    tables.ledger.expire(timeMillis);
    tables.departures.expire(timeMillis);
    suspectsChanged(index, tables.suspects.expire(timeMillis));
  }

  private void membersChanged(long index, long sessionId) {
    epoch = index;
    advanceRevision(index, StateHistory.RevisionChange.ofSessions(index, List.of(sessionId)));
  }

  private void suspectsChanged(long index, List<String> fingerprints) {
    if (!fingerprints.isEmpty()) {
      suspectsRevision = index;
      advanceRevision(index, StateHistory.RevisionChange.ofFingerprints(index, fingerprints));
    }
  }

  private void advanceRevision(long index, StateHistory.RevisionChange change) {
    revision = index;
    history.add(change);
  }

  private static RevisionResult revisionResult(long index) {
    return RevisionResult.newBuilder().setRevision(index).build();
  }

  /** Returns the log index of the last change that entries must apply. */
  public synchronized long revision() {
    return revision;
  }

  /** Returns the replicated time: the latest timestamp that a leader put into a command. */
  public synchronized long timeMillis() {
    return timeMillis;
  }

  /** Returns all open sessions, ordered by id. */
  public synchronized List<MemberData> members() {
    return tables.sessions.members();
  }

  /** Returns whether a session is open. */
  public synchronized boolean isOpen(long sessionId) {
    return tables.sessions.isOpen(sessionId);
  }

  /** Returns whether a ledger call or a suspicion would have expired at this replicated time. */
  public synchronized boolean hasExpired(long atMillis) {
    return tables.ledger.hasExpired(atMillis) || tables.suspects.hasExpired(atMillis);
  }

  /** Returns the number of calls in the ledger. */
  public synchronized int ledgerCalls() {
    return tables.ledger.size();
  }

  /** Returns the current routing document, the evacuated data centres and the roll-outs. */
  public synchronized RoutingData routing() {
    return tables.routing.data();
  }

  /** Sets a listener that runs on the log's thread after {@link #routing} changed. */
  public void onRoutingChange(Runnable listener) {
    listeners.onRouting(listener);
  }

  /** Returns the departure of an upstream, if it drains or has left. */
  public synchronized Optional<DepartureRequest> departure(String upstream) {
    return tables.departures.find(upstream);
  }

  /** Returns the departures that are not older than a limit. */
  public synchronized List<DepartureRequest> departuresWithin(Duration limit) {
    return tables.departures.all().stream()
        .filter(data -> timeMillis - data.getSinceMillis() <= limit.toMillis())
        .map(DepartureData::getDeparture)
        .toList();
  }

  /** Returns the number of departures that are kept. */
  public synchronized int departureCount() {
    return tables.departures.size();
  }

  /** Sets a listener that receives departures on the log's thread after they were stored. */
  public void onDepartures(Consumer<Collection<DepartureRequest>> listener) {
    listeners.onDepartures(listener);
  }

  /** Sets a listener that runs on the log's thread after a suspicion changed. */
  public void onSuspectChange(Runnable listener) {
    listeners.onSuspects(listener);
  }

  /** Returns the log index of the last change of a suspicion. */
  public synchronized long suspectsRevision() {
    return suspectsRevision;
  }

  /**
   * Returns the changes after a revision, or the full state if the history does not reach back so
   * far.
   */
  public synchronized FetchReply changesAfter(long afterRevision) {
    FetchReply.Builder reply = FetchReply.newBuilder().setRevision(revision).setEpoch(epoch);
    return new ChangeReader(tables, history).read(afterRevision, reply);
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
    listeners.runAll(departuresWithin(DepartureState.RETENTION));
  }

  private synchronized void restoreLocked(byte[] snapshot) {
    SnapshotData data;
    try {
      data = SnapshotData.parseFrom(snapshot);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("snapshot of the control state can't be parsed", e);
    }
    timeMillis = data.getTimeMillis();
    revision = data.getRevision();
    suspectsRevision = revision;
    epoch = data.getEpoch();
    tables.restore(data);
    history.reset(revision);
  }

  // An unreadable command is a no-op on every replica, so the replicas stay identical.
  private static Command parse(byte[] command) {
    try {
      return Command.parseFrom(command);
    } catch (InvalidProtocolBufferException e) {
      return Command.getDefaultInstance();
    }
  }
}
