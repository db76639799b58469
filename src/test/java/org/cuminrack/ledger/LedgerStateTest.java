package org.cuminrack.ledger;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import org.cuminrack.generated.control.AnswerData;
import org.cuminrack.generated.control.CallKeyData;
import org.cuminrack.generated.control.ClaimReply;
import org.cuminrack.generated.control.ClaimRequest;
import org.cuminrack.generated.control.ClaimState;
import org.cuminrack.generated.control.FinishRequest;
import org.cuminrack.generated.control.FinishResult;
import org.junit.jupiter.api.Test;

class LedgerStateTest {
  private static final LedgerLimits LIMITS =
      new LedgerLimits(3, 1_000, 100, Duration.ofHours(1), Duration.ofMinutes(1));
  private static final long HOUR_MILLIS = Duration.ofHours(1).toMillis();
  private static final AnswerData RESPONSE =
      AnswerData.newBuilder().setHttpStatus(201).setBody(ByteString.copyFromUtf8("ok")).build();

  private final LedgerState ledger = new LedgerState(LIMITS);
  private long index;

  @Test
  void shouldGrantOnlyOneClaimOnACall() {
    assertThat(claim("k", "t1").getState()).isEqualTo(ClaimState.GRANTED);
    assertThat(claim("k", "t2").getState()).isEqualTo(ClaimState.IN_PROGRESS);
  }

  @Test
  void shouldReturnTheSameReplyForAResentClaim() {
    ClaimReply first = claim("k", "t1");

    assertThat(claim("k", "t1")).isEqualTo(first);
  }

  @Test
  void shouldReturnTheStoredResponseForAResentCall() {
    finish("k", claim("k", "t1").getClaimId(), FinishResult.FINISH_DONE);

    ClaimReply reply = claim("k", "t2");

    assertThat(reply.getState()).isEqualTo(ClaimState.DONE);
    assertThat(reply.getAnswer()).isEqualTo(RESPONSE);
  }

  @Test
  void shouldGrantANewClaimOnACallThatWasNotRun() {
    finish("k", claim("k", "t1").getClaimId(), FinishResult.FINISH_NOT_RUN);

    assertThat(claim("k", "t2").getState()).isEqualTo(ClaimState.GRANTED);
  }

  @Test
  void shouldNeverGrantANewClaimOnACallWithUnknownOutcome() {
    finish("k", claim("k", "t1").getClaimId(), FinishResult.FINISH_UNKNOWN);

    assertThat(claim("k", "t2").getState()).isEqualTo(ClaimState.UNKNOWN);
  }

  @Test
  void shouldEndOpenClaimsAsUnknownWhenTheirSessionEnds() {
    claim("k", "t1");

    ledger.endSession(1, 0);

    assertThat(claim("k", "t1").getState()).isEqualTo(ClaimState.UNKNOWN);
    assertThat(claim("k", "t2").getState()).isEqualTo(ClaimState.UNKNOWN);
  }

  @Test
  void shouldRecordAResponseReceivedAfterTheSessionEnded() {
    long claimId = claim("k", "t1").getClaimId();
    ledger.endSession(1, 0);

    finish("k", claimId, FinishResult.FINISH_DONE);

    assertThat(claim("k", "t2").getState()).isEqualTo(ClaimState.DONE);
  }

  @Test
  void shouldNotReplaceARecordedResult() {
    long claimId = claim("k", "t1").getClaimId();
    finish("k", claimId, FinishResult.FINISH_DONE);

    assertThat(finish("k", claimId, FinishResult.FINISH_NOT_RUN)).isFalse();
    assertThat(claim("k", "t2").getState()).isEqualTo(ClaimState.DONE);
  }

  @Test
  void shouldNotFinishANewerClaimByAnOldClaimId() {
    long first = claim("k", "t1").getClaimId();
    finish("k", first, FinishResult.FINISH_NOT_RUN);
    claim("k", "t2");

    assertThat(finish("k", first, FinishResult.FINISH_NOT_RUN)).isFalse();
    assertThat(claim("k", "t3").getState()).isEqualTo(ClaimState.IN_PROGRESS);
  }

  @Test
  void shouldRejectAClaimThatArrivesAfterItsRelease() {
    releaseClaim("k", "t1");

    assertThat(claim("k", "t1").getState()).isEqualTo(ClaimState.UNAVAILABLE);
    assertThat(claim("k", "t2").getState()).isEqualTo(ClaimState.GRANTED);
  }

  @Test
  void shouldNotReleaseAClaimOfAnotherToken() {
    claim("k", "t1");

    releaseClaim("k", "t2");

    assertThat(claim("k", "t3").getState()).isEqualTo(ClaimState.IN_PROGRESS);
  }

  @Test
  void shouldRejectAKeyUsedForAnotherRequest() {
    claim("k", "t1");

    ClaimRequest other = claimRequest("k", "t2").setFingerprint("other").build();

    assertThat(ledger.claim(/* index= */ 9, other, /* timeMillis= */ 0).getState())
        .isEqualTo(ClaimState.KEY_REUSED);
  }

  @Test
  void shouldRejectNewCallsInsteadOfEvictingOldOnesWhenFull() {
    finish("a", claim("a", "t").getClaimId(), FinishResult.FINISH_DONE);
    claim("b", "t");
    claim("c", "t");

    assertThat(claim("d", "t").getState()).isEqualTo(ClaimState.UNAVAILABLE);
    assertThat(claim("a", "t2").getState()).isEqualTo(ClaimState.DONE);
  }

  @Test
  void shouldRejectACallWithoutSpaceForItsResponse() {
    LedgerState smallLedger =
        new LedgerState(
            new LedgerLimits(100, 150, 100, Duration.ofHours(1), Duration.ofMinutes(1)));

    assertThat(smallLedger.claim(1, claimRequest("a", "t").build(), 0).getState())
        .isEqualTo(ClaimState.GRANTED);
    assertThat(smallLedger.claim(2, claimRequest("b", "t").build(), 0).getState())
        .isEqualTo(ClaimState.UNAVAILABLE);
  }

  @Test
  void shouldEndACallAsUnknownIfItsResponseIsTooLarge() {
    AnswerData large = AnswerData.newBuilder().setBody(ByteString.copyFrom(new byte[101])).build();
    FinishRequest request =
        finishRequest("k", claim("k", "t1").getClaimId(), FinishResult.FINISH_DONE)
            .setAnswer(large)
            .build();

    assertThat(ledger.finish(request, 0).getRecorded()).isTrue();
    assertThat(claim("k", "t2").getState()).isEqualTo(ClaimState.UNKNOWN);
  }

  @Test
  void shouldExpireACallOnlyAfterItsRetention() {
    finish("k", claim("k", "t1").getClaimId(), FinishResult.FINISH_DONE);

    ledger.expire(HOUR_MILLIS - 1);
    assertThat(ledger.size()).isEqualTo(1);
    ledger.expire(HOUR_MILLIS);
    assertThat(ledger.size()).isEqualTo(0);
    assertThat(ledger.bytes()).isEqualTo(0);
  }

  @Test
  void shouldNeverExpireAnOpenClaim() {
    claim("k", "t1");

    ledger.expire(100 * HOUR_MILLIS);

    assertThat(claim("k", "t2").getState()).isEqualTo(ClaimState.IN_PROGRESS);
  }

  private ClaimReply claim(String key, String token) {
    index++;
    return ledger.claim(index, claimRequest(key, token).build(), 0);
  }

  private boolean finish(String key, long claimId, FinishResult result) {
    return ledger.finish(finishRequest(key, claimId, result).build(), 0).getRecorded();
  }

  /** Releases the claim of a token: the claim ID 0 selects the claim by its token. */
  private void releaseClaim(String key, String token) {
    ledger.finish(finishRequest(key, 0, FinishResult.FINISH_NOT_RUN).setToken(token).build(), 0);
  }

  private static FinishRequest.Builder finishRequest(
      String key, long claimId, FinishResult result) {
    return FinishRequest.newBuilder()
        .setKey(keyOf(key))
        .setClaimId(claimId)
        .setResult(result)
        .setAnswer(RESPONSE);
  }

  private static ClaimRequest.Builder claimRequest(String key, String token) {
    return ClaimRequest.newBuilder()
        .setKey(keyOf(key))
        .setFingerprint("f")
        .setSessionId(1)
        .setToken(token);
  }

  private static CallKeyData keyOf(String key) {
    return CallKeyData.newBuilder().setOrganisation("o").setIdempotencyKey(key).build();
  }
}
