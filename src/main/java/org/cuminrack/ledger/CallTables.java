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

/** The calls of a ledger, indexed by key, session and age, with their size in bytes. */
final class CallTables {
  private final int reservedResponseBytes;

  // Every call is in exactly one of these maps, in the order of its last state change. A settled
  // call is done or unknown.
  private final Map<CallKeyData, CallData> claimed = new LinkedHashMap<>();
  private final Map<CallKeyData, CallData> settled = new LinkedHashMap<>();
  private final Map<CallKeyData, CallData> notRun = new LinkedHashMap<>();

  private final Map<Long, Set<CallKeyData>> openClaimsBySession = new HashMap<>();
  private long bytes;

  /**
   * Creates empty tables.
   *
   * @param reservedResponseBytes the bytes reserved for the response of an open claim
   */
  CallTables(int reservedResponseBytes) {
    this.reservedResponseBytes = reservedResponseBytes;
  }

  /** Returns the call with a key; null if unknown. */
  CallData find(CallKeyData key) {
    CallData call = claimed.get(key);
    if (call == null) {
      call = settled.get(key);
    }
    return call == null ? notRun.get(key) : call;
  }

  /** Adds a call and replaces any call with the same key. */
  void put(CallData call) {
    remove(call.getKey());
    bytes += sizeOf(call);
    tableOf(call).put(call.getKey(), call);
    if (call.getState() == CallState.CALL_CLAIMED) {
      openClaimsBySession
          .computeIfAbsent(call.getSessionId(), id -> new LinkedHashSet<>())
          .add(call.getKey());
    }
  }

  /** Returns the open claims of a session. */
  List<CallData> openClaimsOf(long sessionId) {
    List<CallData> calls = new ArrayList<>();
    for (CallKeyData key : openClaimsBySession.getOrDefault(sessionId, Set.of())) {
      calls.add(claimed.get(key));
    }
    return calls;
  }

  /** Removes calls that ended at or before the limit for their state. */
  void expire(long settledLimitMillis, long notRunLimitMillis) {
    expire(settled, settledLimitMillis);
    expire(notRun, notRunLimitMillis);
  }

  boolean hasExpired(long settledLimitMillis, long notRunLimitMillis) {
    return oldestChangedBy(settled, settledLimitMillis)
        || oldestChangedBy(notRun, notRunLimitMillis);
  }

  int size() {
    return claimed.size() + settled.size() + notRun.size();
  }

  long bytes() {
    return bytes;
  }

  /** Returns all calls; adding them by {@link #put} in this order restores the tables. */
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
    openClaimsBySession.clear();
    bytes = 0;
  }

  private void remove(CallKeyData key) {
    CallData removed = find(key);
    if (removed == null) {
      return;
    }
    bytes -= sizeOf(removed);
    tableOf(removed).remove(key);
    if (removed.getState() == CallState.CALL_CLAIMED) {
      Set<CallKeyData> sessionClaims = openClaimsBySession.get(removed.getSessionId());
      sessionClaims.remove(key);
      if (sessionClaims.isEmpty()) {
        openClaimsBySession.remove(removed.getSessionId());
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

  private long sizeOf(CallData call) {
    boolean open = call.getState() == CallState.CALL_CLAIMED;
    int responseBytes = open ? reservedResponseBytes : call.getAnswer().getBody().size();
    return (long) call.getKey().getSerializedSize() + responseBytes;
  }

  private void expire(Map<CallKeyData, CallData> table, long limitMillis) {
    while (oldestChangedBy(table, limitMillis)) {
      remove(table.keySet().iterator().next());
    }
  }

  private static boolean oldestChangedBy(Map<CallKeyData, CallData> table, long limitMillis) {
    Iterator<CallData> oldest = table.values().iterator();
    return oldest.hasNext() && oldest.next().getSinceMillis() <= limitMillis;
  }
}
