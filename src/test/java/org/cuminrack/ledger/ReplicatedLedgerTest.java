package org.cuminrack.ledger;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.control.ControlGroup;
import org.cuminrack.control.LeaseSettings;
import org.cuminrack.member.EntryIdentity;
import org.cuminrack.member.SessionClient;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ReplicatedLedgerTest {
  private static final CallKey KEY = new CallKey("lyzicka", "orders", "order-1");
  private static final Fingerprint ORDER = fingerprint("order");
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final StoredResponse RESPONSE =
      new StoredResponse(201, "text/plain", ByteString.copyFromUtf8("order 17"));

  private final ControlGroup control = new ControlGroup();
  private final SessionClient firstEntry = entry("entry-1");
  private final SessionClient secondEntry = entry("entry-2");
  private final Ledger first = new ReplicatedLedger(control, firstEntry);
  private final Ledger second = new ReplicatedLedger(control, secondEntry);

  @BeforeEach
  void openSessions() {
    firstEntry.tick();
    secondEntry.tick();
  }

  @Test
  void shouldReturnTheFirstResponseForAResendThroughAnotherEntry() {
    long claimId = grantedClaimId(claim(first));
    first.finish(KEY, claimId, new CallResult.Done(RESPONSE)).join();

    assertThat(claim(second)).isEqualTo(new ClaimVerdict.Done(RESPONSE));
  }

  @Test
  void shouldNotGrantAResendWhileTheCallIsInProgress() {
    claim(first);

    assertThat(claim(second)).isInstanceOf(ClaimVerdict.InProgress.class);
  }

  @Test
  void shouldEndTheCallsOfALostEntryAsUnknown() {
    claim(first);

    control.setUnreachable(true);
    control.advanceTime(LeaseSettings.standard().expiryAtControl().plusMillis(100));
    control.setUnreachable(false);
    secondEntry.tick();
    control.clock.advance(Duration.ofSeconds(1));
    secondEntry.tick();

    assertThat(claim(second)).isEqualTo(new ClaimVerdict.Unknown());
  }

  @Test
  void shouldNotGrantAClaimWhoseReplyWasLost() {
    control.log.setLosesReplies(true);

    assertThat(claim(first)).isInstanceOf(ClaimVerdict.Unavailable.class);
  }

  @Test
  void shouldReleaseAClaimWhoseReplyWasLost() {
    control.log.setLosesReplies(true);
    claim(first);
    control.log.setLosesReplies(false);

    assertThat(claim(second)).isInstanceOf(ClaimVerdict.Granted.class);
  }

  @Test
  void shouldNotSendAClaimWithoutAValidLease() {
    int before = control.log.commands().size();
    control.clock.advance(LeaseSettings.standard().lease());

    assertThat(claim(first)).isInstanceOf(ClaimVerdict.Unavailable.class);
    assertThat(control.log.commands()).hasSize(before);
  }

  @Test
  void shouldRejectTheKeyForAnotherRequest() {
    claim(first);

    assertThat(second.claim(KEY, fingerprint("other"), TIMEOUT).join())
        .isEqualTo(new ClaimVerdict.KeyReused());
  }

  @Test
  void shouldReportAResultAsNotDurableWhileControlIsUnreachable() {
    long claimId = grantedClaimId(claim(first));
    control.setUnreachable(true);

    assertThat(first.finish(KEY, claimId, new CallResult.Done(RESPONSE)).join()).isFalse();
  }

  private static ClaimVerdict claim(Ledger ledger) {
    return ledger.claim(KEY, ORDER, TIMEOUT).join();
  }

  private static long grantedClaimId(ClaimVerdict verdict) {
    return ((ClaimVerdict.Granted) verdict).claimId();
  }

  private static Fingerprint fingerprint(String body) {
    return Fingerprint.of("lyzicka", "orders", body.getBytes(StandardCharsets.UTF_8));
  }

  private SessionClient entry(String name) {
    EntryIdentity identity = new EntryIdentity(name, "dc-a", "127.0.0.1:1", "127.0.0.1:2");
    return new SessionClient(identity, control, LeaseSettings.standard(), control.clock);
  }
}
