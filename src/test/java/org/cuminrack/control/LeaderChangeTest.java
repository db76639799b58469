package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.cuminrack.config.DataCentre;
import org.cuminrack.member.EntryIdentity;
import org.cuminrack.member.SessionClient;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeaderChangeTest {
  private static final LeaseSettings SETTINGS = LeaseSettings.standard();
  private static final DataCentre DRAINED = new DataCentre("dc-a", true);
  private static final EntryIdentity IDENTITY =
      new EntryIdentity("entry-1", "dc-a", "127.0.0.1:1", "127.0.0.1:2");

  private final ControlGroup control = new ControlGroup();
  private final SessionClient entry = new SessionClient(IDENTITY, control, SETTINGS, control.clock);

  @BeforeEach
  void openSession() {
    entry.tick();
  }

  @Test
  void shouldGrantEverySessionAFullLeaseUnderNewLeader() {
    control.setUnreachable(true);
    control.advanceTime(SETTINGS.lease());

    control.elect("b");
    control.advanceTime(SETTINGS.lease());

    assertThat(control.state().members()).hasSize(1);
  }

  @Test
  void shouldEndSessionThatNeverRenewsWithNewLeader() {
    control.setUnreachable(true);
    control.elect("b");

    control.advanceTime(SETTINGS.expiryAtControl().plusMillis(100));

    assertThat(control.state().members()).isEmpty();
  }

  @Test
  void shouldNotReportRevisionInForceBeforeItIsAcknowledgedToNewLeader() {
    long revision = control.change("1", DRAINED, 0).getRevision();
    control.tick();
    assertThat(control.inForce(revision).getInForce()).isTrue();

    control.setUnreachable(true);
    control.elect("b");
    control.setUnreachable(false);

    assertThat(control.inForce(revision).getInForce()).isFalse();
  }

  @Test
  void shouldReportRevisionInForceOnceAcknowledgedToNewLeader() {
    long revision = control.change("1", DRAINED, 0).getRevision();
    control.tick();
    control.elect("b");

    renewNow();
    control.tick();

    assertThat(control.inForce(revision).getInForce()).isTrue();
  }

  @Test
  void shouldNeverDecreaseInForceRevisionOfEntry() {
    long revision = control.change("1", DRAINED, 0).getRevision();
    control.tick();
    control.tick();
    control.elect("b");
    control.tick();

    assertThat(entry.inForceRevision()).isEqualTo(revision);
  }

  @Test
  void shouldNotEndSessionsAfterSuspensionOfLeader() {
    long sessionId = entry.sessionId();
    control.clock.advance(SETTINGS.lease().multipliedBy(3));

    control.tick();

    assertThat(control.state().isOpen(sessionId)).isTrue();
  }

  @Test
  void shouldNotAdvanceReplicatedTimeWithoutLeader() {
    control.change("1", DRAINED, 0);
    long before = control.state().timeMillis();
    control.elect("");
    control.advanceTime(Duration.ofHours(1));

    control.elect("b");
    control.change("2", new DataCentre("dc-b", true), 0);

    assertThat(control.state().timeMillis()).isLessThan(before + 1000);
  }

  private void renewNow() {
    control.clock.advance(SETTINGS.renewInterval());
    entry.tick();
  }
}
