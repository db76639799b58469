package org.cuminrack.member;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.cuminrack.config.DataCentre;
import org.cuminrack.control.ControlGroup;
import org.cuminrack.control.LeaseSettings;
import org.junit.jupiter.api.Test;

class SessionClientTest {
  private static final DataCentre DRAINED = new DataCentre("dc-a", true);
  private static final Duration LEASE = LeaseSettings.standard().lease();

  private final ControlGroup control = new ControlGroup();
  private final SessionClient first = client("entry-1");
  private final SessionClient second = client("entry-2");

  @Test
  void shouldHoldLeaseOnceViewIsApplied() {
    first.tick();

    assertThat(first.hasValidLease()).isTrue();
    assertThat(first.view().members()).hasSize(1);
  }

  @Test
  void shouldPutChangeInForceAtEveryEntry() {
    first.tick();
    second.tick();

    long revision = control.change("1", DRAINED, 0).getRevision();
    control.tick();

    assertThat(first.view().configuration().isDrained("dc-a")).isTrue();
    assertThat(second.view().revision()).isEqualTo(revision);
    assertThat(control.inForce(revision).getInForce()).isTrue();
  }

  @Test
  void shouldReceiveInForceRevision() {
    first.tick();
    second.tick();

    long revision = control.change("1", DRAINED, 0).getRevision();
    control.tick();
    control.tick();

    assertThat(first.inForceRevision()).isEqualTo(revision);
    assertThat(second.inForceRevision()).isEqualTo(revision);
  }

  @Test
  void shouldNotReportAChangeInForceBeforeEveryEntryHasAppliedIt() {
    first.tick();
    second.tick();
    control.tick();

    control.setUnreachable(true);
    control.tick();
    control.setUnreachable(false);
    long revision = control.change("1", DRAINED, 0).getRevision();

    assertThat(control.inForce(revision).getInForce()).isFalse();
    assertThat(control.inForce(revision).getWaitingForList()).containsExactly("entry-1", "entry-2");
  }

  @Test
  void shouldLoseLeaseBeforeControlEndsSession() {
    first.tick();
    control.setUnreachable(true);

    Duration step = Duration.ofMillis(50);
    Duration sinceRenewal = Duration.ZERO;
    while (first.hasValidLease()) {
      assertThat(control.state().members()).hasSize(1);
      control.advanceTime(step);
      sinceRenewal = sinceRenewal.plus(step);
    }

    assertThat(sinceRenewal).isLessThan(LEASE);
    assertThat(control.state().members()).hasSize(1);
  }

  @Test
  void shouldEndSessionOnceLeaseHasExpired() {
    first.tick();
    control.setUnreachable(true);

    control.advanceTime(LEASE.plusMillis(200));

    assertThat(control.state().members()).isEmpty();
  }

  @Test
  void shouldOpenNewSessionAfterSessionLoss() {
    first.tick();
    long lostSessionId = first.sessionId();
    control.setUnreachable(true);
    control.advanceTime(LEASE.plusMillis(200));
    control.setUnreachable(false);

    first.tick();

    assertThat(first.sessionId()).isGreaterThan(lostSessionId);
    assertThat(first.hasValidLease()).isTrue();
    assertThat(first.view().epoch()).isEqualTo(first.sessionId());
  }

  private SessionClient client(String name) {
    EntryIdentity identity = new EntryIdentity(name, "dc-a", "127.0.0.1:1", "127.0.0.1:2");
    return new SessionClient(identity, control, LeaseSettings.standard(), control.clock);
  }
}
