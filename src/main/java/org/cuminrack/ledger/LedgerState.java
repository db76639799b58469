package org.cuminrack.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminrack.generated.control.CallData;
import org.cuminrack.generated.control.CallKeyData;
import org.cuminrack.generated.control.CallState;
import org.cuminrack.generated.control.ClaimReply;
import org.cuminrack.generated.control.ClaimRequest;
import org.cuminrack.generated.control.ClaimState;
import org.cuminrack.generated.control.FinishReply;
import org.cuminrack.generated.control.FinishRequest;
import org.cuminrack.generated.control.FinishResult;

/**
 * The calls that may not be repeated, as every replica knows them. A call is claimed by one session
 * at a time; a claim ends as done, not run or unknown, and only a call that was not run can be
 * claimed anew. Deterministic: time comes with the commands. Not thread-safe.
 */
public final class LedgerState {
  private final LedgerLimits limits;

  // Every call is in exactly one of these, ordered by the time of its last step.
  private final Map<CallKeyData, CallData> claimed = new LinkedHashMap<>();
  private final Map<CallKeyData, CallData> settled = new LinkedHashMap<>();
  private final Map<CallKeyData, CallData> notRun = new LinkedHashMap<>();

  private final Map<Long, Set<CallKeyData>> claimedBySession = new HashMap<>();
  private long bytes;

  public LedgerState(LedgerLimits limits) {
    this.limits = limits;
  }

  /** Claims a call for an open session; the log index becomes the claim's id. */
  public ClaimReply claim(long index, ClaimRequest request, long timeMillis) {
    CallData known = find(request.getKey());
    if (known != null && known.getToken().equals(request.getToken())) {
      return repeat(known);
    }
    if (known == null || known.getState() == CallState.CALL_NOT_RUN) {
      return isFull(request, known)
          ? unavailable("ledger full")
          : grant(index, request, timeMillis);
    }
    if (!known.getFingerprint().equals(request.getFingerprint())) {
      return reply(ClaimState.KEY_REUSED).build();
    }
    return switch (known.getState()) {
      case CALL_CLAIMED -> reply(ClaimState.IN_PROGRESS).build();
      case CALL_DONE -> reply(ClaimState.DONE).setAnswer(known.getAnswer()).build();
      default -> reply(ClaimState.UNKNOWN).build();
    };
  }

  /** Records how a claim ended, or that its token will never be used. */
  public FinishReply finish(FinishRequest request, long timeMillis) {
    CallData known = find(request.getKey());
    if (request.getClaimId() == 0) {
      return giveBack(request, known, timeMillis);
    }
    if (known == null || known.getClaimId() != request.getClaimId()) {
      return finished(false, "no such claim");
    }
    if (known.getState() == CallState.CALL_DONE || known.getState() == CallState.CALL_NOT_RUN) {
      boolean same = stateOf(request) == known.getState();
      return finished(same, same ? "" : "the claim has ended as " + known.getState());
    }
    put(ended(known, request, timeMillis));
    return finished(true, "");
  }

  /** Ends a session's open claims: nobody can tell any more whether they ran. */
  public void endSession(long sessionId, long timeMillis) {
    Set<CallKeyData> open = claimedBySession.getOrDefault(sessionId, Set.of());
    for (CallKeyData key : new ArrayList<>(open)) {
      put(
          claimed.get(key).toBuilder()
              .setState(CallState.CALL_UNKNOWN)
              .setSinceMillis(timeMillis)
              .build());
    }
  }

  /** Drops calls whose retention is over. */
  public void expire(long timeMillis) {
    expire(settled, limits.retention().toMillis(), timeMillis);
    expire(notRun, limits.notRunRetention().toMillis(), timeMillis);
  }

  /** Tells whether there is a call whose retention is over. */
  public boolean hasExpired(long timeMillis) {
    return oldestBefore(settled, timeMillis - limits.retention().toMillis())
        || oldestBefore(notRun, timeMillis - limits.notRunRetention().toMillis());
  }

  /** Returns how many calls are remembered. */
  public int size() {
    return claimed.size() + settled.size() + notRun.size();
  }

  /** Returns the bytes counted against the ledger's bound. */
  public long bytes() {
    return bytes;
  }

  /** Returns every call, in the order in which {@link #restore} has to get them. */
  public List<CallData> all() {
    List<CallData> all = new ArrayList<>(claimed.values());
    all.addAll(settled.values());
    all.addAll(notRun.values());
    return all;
  }

  /** Replaces every call. */
  public void restore(List<CallData> calls) {
    claimed.clear();
    settled.clear();
    notRun.clear();
    claimedBySession.clear();
    bytes = 0;
    calls.forEach(this::put);
  }

  private ClaimReply repeat(CallData known) {
    return switch (known.getState()) {
      case CALL_CLAIMED -> reply(ClaimState.GRANTED).setClaimId(known.getClaimId()).build();
      case CALL_DONE -> reply(ClaimState.DONE).setAnswer(known.getAnswer()).build();
      case CALL_NOT_RUN -> unavailable("the claim was given back");
      default -> reply(ClaimState.UNKNOWN).build();
    };
  }

  private ClaimReply grant(long index, ClaimRequest request, long timeMillis) {
    put(
        CallData.newBuilder()
            .setKey(request.getKey())
            .setFingerprint(request.getFingerprint())
            .setState(CallState.CALL_CLAIMED)
            .setClaimId(index)
            .setSessionId(request.getSessionId())
            .setToken(request.getToken())
            .setSinceMillis(timeMillis)
            .build());
    return reply(ClaimState.GRANTED).setClaimId(index).build();
  }

  private FinishReply giveBack(FinishRequest request, CallData known, long timeMillis) {
    if (known == null) {
      if (size() >= limits.maxCalls()) {
        return finished(false, "ledger full");
      }
      put(
          CallData.newBuilder()
              .setKey(request.getKey())
              .setToken(request.getToken())
              .setState(CallState.CALL_NOT_RUN)
              .setSinceMillis(timeMillis)
              .build());
      return finished(true, "");
    }
    boolean own = known.getToken().equals(request.getToken());
    boolean open =
        known.getState() == CallState.CALL_CLAIMED || known.getState() == CallState.CALL_UNKNOWN;
    if (own && open) {
      put(known.toBuilder().setState(CallState.CALL_NOT_RUN).setSinceMillis(timeMillis).build());
    }
    return finished(true, "");
  }

  private CallData ended(CallData known, FinishRequest request, long timeMillis) {
    CallData.Builder ended =
        known.toBuilder().setState(stateOf(request)).setSinceMillis(timeMillis);
    if (ended.getState() == CallState.CALL_DONE) {
      ended.setAnswer(request.getAnswer());
    }
    return ended.build();
  }

  // An answer too large to keep can't be given to a resend: the call ends as unknown.
  private CallState stateOf(FinishRequest request) {
    boolean tooLarge = request.getAnswer().getBody().size() > limits.maxAnswerBytes();
    if (request.getResult() == FinishResult.FINISH_DONE && !tooLarge) {
      return CallState.CALL_DONE;
    }
    return request.getResult() == FinishResult.FINISH_NOT_RUN
        ? CallState.CALL_NOT_RUN
        : CallState.CALL_UNKNOWN;
  }

  private boolean isFull(ClaimRequest request, CallData known) {
    long needed = keyBytes(request.getKey()) + limits.maxAnswerBytes();
    boolean noPlace = known == null && size() >= limits.maxCalls();
    return noPlace || bytes + needed > limits.maxBytes();
  }

  private CallData find(CallKeyData key) {
    CallData call = claimed.get(key);
    if (call == null) {
      call = settled.get(key);
    }
    return call == null ? notRun.get(key) : call;
  }

  private void put(CallData call) {
    remove(call.getKey());
    bytes += cost(call);
    tableOf(call).put(call.getKey(), call);
    if (call.getState() == CallState.CALL_CLAIMED) {
      claimedBySession
          .computeIfAbsent(call.getSessionId(), id -> new LinkedHashSet<>())
          .add(call.getKey());
    }
  }

  private void remove(CallKeyData key) {
    CallData removed = find(key);
    if (removed == null) {
      return;
    }
    bytes -= cost(removed);
    tableOf(removed).remove(key);
    if (removed.getState() == CallState.CALL_CLAIMED) {
      Set<CallKeyData> ofSession = claimedBySession.get(removed.getSessionId());
      ofSession.remove(key);
      if (ofSession.isEmpty()) {
        claimedBySession.remove(removed.getSessionId());
      }
    }
  }

  private Map<CallKeyData, CallData> tableOf(CallData call) {
    return switch (call.getState()) {
      case CALL_CLAIMED -> claimed;
      case CALL_NOT_RUN -> notRun;
      default -> settled;
    };
  }

  private long cost(CallData call) {
    boolean open = call.getState() == CallState.CALL_CLAIMED;
    return keyBytes(call.getKey())
        + (open ? limits.maxAnswerBytes() : call.getAnswer().getBody().size());
  }

  private static long keyBytes(CallKeyData key) {
    return key.getSerializedSize();
  }

  private void expire(Map<CallKeyData, CallData> table, long retentionMillis, long timeMillis) {
    while (oldestBefore(table, timeMillis - retentionMillis)) {
      remove(table.keySet().iterator().next());
    }
  }

  private static boolean oldestBefore(Map<CallKeyData, CallData> table, long limitMillis) {
    Iterator<CallData> oldest = table.values().iterator();
    return oldest.hasNext() && oldest.next().getSinceMillis() <= limitMillis;
  }

  private static ClaimReply unavailable(String detail) {
    return reply(ClaimState.UNAVAILABLE).setDetail(detail).build();
  }

  private static ClaimReply.Builder reply(ClaimState state) {
    return ClaimReply.newBuilder().setState(state);
  }

  private static FinishReply finished(boolean recorded, String detail) {
    return FinishReply.newBuilder().setRecorded(recorded).setDetail(detail).build();
  }
}
