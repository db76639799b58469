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

/** The calls of a ledger by key, by session and by age, with the bytes they take. */
final class CallTables {
  private final int openCallBytes;

  // Every call is in exactly one of these, ordered by the time of its last step.
  private final Map<CallKeyData, CallData> claimed = new LinkedHashMap<>();
  private final Map<CallKeyData, CallData> settled = new LinkedHashMap<>();
  private final Map<CallKeyData, CallData> notRun = new LinkedHashMap<>();

  private final Map<Long, Set<CallKeyData>> claimedBySession = new HashMap<>();
  private long bytes;

  /**
   * Makes empty tables.
   *
   * @param openCallBytes what is set aside for the answer of a call that has not ended
   */
  CallTables(int openCallBytes) {
    this.openCallBytes = openCallBytes;
  }

  /** Returns the call; null where it is not known. */
  CallData find(CallKeyData key) {
    CallData call = claimed.get(key);
    if (call == null) {
      call = settled.get(key);
    }
    return call == null ? notRun.get(key) : call;
  }

  /** Puts a call in place of the one with its key. */
  void put(CallData call) {
    remove(call.getKey());
    bytes += cost(call);
    tableOf(call).put(call.getKey(), call);
    if (call.getState() == CallState.CALL_CLAIMED) {
      claimedBySession
          .computeIfAbsent(call.getSessionId(), id -> new LinkedHashSet<>())
          .add(call.getKey());
    }
  }

  /** Returns the calls that a session has claimed and not ended. */
  List<CallData> claimedBy(long sessionId) {
    List<CallData> calls = new ArrayList<>();
    for (CallKeyData each : claimedBySession.getOrDefault(sessionId, Set.of())) {
      calls.add(claimed.get(each));
    }
    return calls;
  }

  /** Drops what ended at or before its limit. */
  void expire(long settledLimitMillis, long notRunLimitMillis) {
    expire(settled, settledLimitMillis);
    expire(notRun, notRunLimitMillis);
  }

  boolean hasExpired(long settledLimitMillis, long notRunLimitMillis) {
    return oldestIsBefore(settled, settledLimitMillis) || oldestIsBefore(notRun, notRunLimitMillis);
  }

  int size() {
    return claimed.size() + settled.size() + notRun.size();
  }

  long bytes() {
    return bytes;
  }

  /** Returns every call, in an order that {@link #put} gives back. */
  List<CallData> all() {
    List<CallData> all = new ArrayList<>(claimed.values());
    all.addAll(settled.values());
    all.addAll(notRun.values());
    return all;
  }

  void clear() {
    claimed.clear();
    settled.clear();
    notRun.clear();
    claimedBySession.clear();
    bytes = 0;
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
    int answerBytes = open ? openCallBytes : call.getAnswer().getBody().size();
    return (long) call.getKey().getSerializedSize() + answerBytes;
  }

  private void expire(Map<CallKeyData, CallData> table, long limitMillis) {
    while (oldestIsBefore(table, limitMillis)) {
      remove(table.keySet().iterator().next());
    }
  }

  private static boolean oldestIsBefore(Map<CallKeyData, CallData> table, long limitMillis) {
    Iterator<CallData> oldest = table.values().iterator();
    return oldest.hasNext() && oldest.next().getSinceMillis() <= limitMillis;
  }
}
