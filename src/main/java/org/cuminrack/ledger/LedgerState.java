package org.cuminrack.ledger;

import java.util.List;
import org.cuminrack.generated.control.CallData;
import org.cuminrack.generated.control.CallState;
import org.cuminrack.generated.control.ClaimReply;
import org.cuminrack.generated.control.ClaimRequest;
import org.cuminrack.generated.control.ClaimState;
import org.cuminrack.generated.control.FinishReply;
import org.cuminrack.generated.control.FinishRequest;
import org.cuminrack.generated.control.FinishResult;

/**
 * The replicated state of the ledger. A call is claimed by one session at a time. A claim ends as
 * done, not run or unknown; only a call that was not run can be claimed again. Deterministic: the
 * time is part of the commands. Not thread-safe.
 */
public final class LedgerState {
  private final LedgerLimits limits;

  private final CallTables calls;

  public LedgerState(LedgerLimits limits) {
    this.limits = limits;
    this.calls = new CallTables(limits.maxResponseBytes());
  }

  /** Claims a call for an open session; the log index becomes the claim ID. */
  public ClaimReply claim(long index, ClaimRequest request, long timeMillis) {
    CallData existing = calls.find(request.getKey());
    if (existing != null && existing.getToken().equals(request.getToken())) {
      return replyToResentClaim(existing);
    }
    if (existing == null || existing.getState() == CallState.CALL_NOT_RUN) {
      return isFull(request, existing)
          ? unavailable("ledger full")
          : grant(index, request, timeMillis);
    }
    if (!existing.getFingerprint().equals(request.getFingerprint())) {
      return reply(ClaimState.KEY_REUSED).build();
    }
    return switch (existing.getState()) {
      case CALL_CLAIMED -> reply(ClaimState.IN_PROGRESS).build();
      case CALL_DONE -> reply(ClaimState.DONE).setAnswer(existing.getAnswer()).build();
      default -> reply(ClaimState.UNKNOWN).build();
    };
  }

  /** Records the result of a claim, or releases the claim of a token if the claim ID is 0. */
  public FinishReply finish(FinishRequest request, long timeMillis) {
    CallData existing = calls.find(request.getKey());
    if (request.getClaimId() == 0) {
      return releaseClaim(request, existing, timeMillis);
    }
    if (existing == null || existing.getClaimId() != request.getClaimId()) {
      return finishReply(false, "no such claim");
    }
    if (existing.getState() == CallState.CALL_DONE
        || existing.getState() == CallState.CALL_NOT_RUN) {
      boolean isSameResult = stateOf(request) == existing.getState();
      return finishReply(
          isSameResult, isSameResult ? "" : "the claim has ended as " + existing.getState());
    }
    calls.put(withResult(existing, request, timeMillis));
    return finishReply(true, "");
  }

  /** Ends the open claims of a session as unknown, since their outcome can no longer be known. */
  public void endSession(long sessionId, long timeMillis) {
    for (CallData claim : calls.openClaimsOf(sessionId)) {
      calls.put(
          claim.toBuilder().setState(CallState.CALL_UNKNOWN).setSinceMillis(timeMillis).build());
    }
  }

  /** Removes calls whose retention has expired. */
  public void expire(long timeMillis) {
    calls.expire(
        timeMillis - limits.retention().toMillis(),
        timeMillis - limits.notRunRetention().toMillis());
  }

  /** Returns whether the retention of any call has expired. */
  public boolean hasExpired(long timeMillis) {
    return calls.hasExpired(
        timeMillis - limits.retention().toMillis(),
        timeMillis - limits.notRunRetention().toMillis());
  }

  /** Returns the number of stored calls. */
  public int size() {
    return calls.size();
  }

  /** Returns the bytes counted against the ledger's limit. */
  public long bytes() {
    return calls.bytes();
  }

  /** Returns all calls in the order required by {@link #restore}. */
  public List<CallData> allCalls() {
    return calls.all();
  }

  /** Replaces all calls. */
  public void restore(List<CallData> restored) {
    calls.clear();
    restored.forEach(calls::put);
  }

  private ClaimReply replyToResentClaim(CallData existing) {
    return switch (existing.getState()) {
      case CALL_CLAIMED -> reply(ClaimState.GRANTED).setClaimId(existing.getClaimId()).build();
      case CALL_DONE -> reply(ClaimState.DONE).setAnswer(existing.getAnswer()).build();
      case CALL_NOT_RUN -> unavailable("the claim was given back");
      default -> reply(ClaimState.UNKNOWN).build();
    };
  }

  private ClaimReply grant(long index, ClaimRequest request, long timeMillis) {
    calls.put(
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

  /**
   * Releases the claim that has the request's token. If it has not arrived yet, records the call as
   * not run with this token, so that the claim is rejected when it arrives.
   */
  private FinishReply releaseClaim(FinishRequest request, CallData existing, long timeMillis) {
    if (existing == null) {
      if (size() >= limits.maxCalls()) {
        return finishReply(false, "ledger full");
      }
      calls.put(
          CallData.newBuilder()
              .setKey(request.getKey())
              .setToken(request.getToken())
              .setState(CallState.CALL_NOT_RUN)
              .setSinceMillis(timeMillis)
              .build());
      return finishReply(true, "");
    }
    boolean sameToken = existing.getToken().equals(request.getToken());
    boolean isReleasable =
        existing.getState() == CallState.CALL_CLAIMED
            || existing.getState() == CallState.CALL_UNKNOWN;
    if (sameToken && isReleasable) {
      calls.put(
          existing.toBuilder().setState(CallState.CALL_NOT_RUN).setSinceMillis(timeMillis).build());
    }
    return finishReply(true, "");
  }

  private CallData withResult(CallData existing, FinishRequest request, long timeMillis) {
    CallData.Builder ended =
        existing.toBuilder().setState(stateOf(request)).setSinceMillis(timeMillis);
    if (ended.getState() == CallState.CALL_DONE) {
      ended.setAnswer(request.getAnswer());
    }
    return ended.build();
  }

  // A call whose response is too large to store ends as unknown: a resend cannot get the response.
  private CallState stateOf(FinishRequest request) {
    boolean tooLarge = request.getAnswer().getBody().size() > limits.maxResponseBytes();
    if (request.getResult() == FinishResult.FINISH_DONE && !tooLarge) {
      return CallState.CALL_DONE;
    }
    return request.getResult() == FinishResult.FINISH_NOT_RUN
        ? CallState.CALL_NOT_RUN
        : CallState.CALL_UNKNOWN;
  }

  private boolean isFull(ClaimRequest request, CallData existing) {
    long neededBytes = (long) request.getKey().getSerializedSize() + limits.maxResponseBytes();
    boolean tooManyCalls = existing == null && size() >= limits.maxCalls();
    return tooManyCalls || calls.bytes() + neededBytes > limits.maxBytes();
  }

  private static ClaimReply unavailable(String detail) {
    return reply(ClaimState.UNAVAILABLE).setDetail(detail).build();
  }

  private static ClaimReply.Builder reply(ClaimState state) {
    return ClaimReply.newBuilder().setState(state);
  }

  private static FinishReply finishReply(boolean recorded, String detail) {
    return FinishReply.newBuilder().setRecorded(recorded).setDetail(detail).build();
  }
}
