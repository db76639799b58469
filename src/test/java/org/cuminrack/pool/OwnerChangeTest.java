package org.cuminrack.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.wire.Method;
import org.junit.jupiter.api.Test;

class OwnerChangeTest {
  private static final int COLD = 3;
  private static final Announcement ENGINE =
      PoolFixture.announcement("engine-1", "boot-1", COLD, 16, 0);
  private static final Duration SETTLED = Duration.ofMillis(1100);
  private static final TicketOutcome DONE =
      new TicketOutcome(TicketOutcome.Result.COMPLETED, 10, Duration.ofMillis(100));

  private final FakeCluster cluster =
      new FakeCluster().withEntries("entry-1", "entry-2", "entry-3");
  private final String owner = cluster.ownerOf(PoolFixture.POOL);
  private long sequence;

  @Test
  void shouldNotExceedTheColdLimitSummedOverAllEntries() {
    startEngine();

    int admitted =
        cluster.admit("entry-1", 5).size()
            + cluster.admit("entry-2", 5).size()
            + cluster.admit("entry-3", 5).size();

    assertThat(admitted).isEqualTo(COLD);
  }

  @Test
  void shouldCountWhatTheFormerOwnerHandedOver() {
    startEngine();
    List<Ticket> before = cluster.admit("entry-1", 2);

    cluster.stopping(owner);
    cluster.spread();
    cluster.pass(Duration.ofMillis(300));

    assertThat(before).hasSize(2);
    assertThat(cluster.admit(other(), 5)).hasSize(COLD - 2);
  }

  @Test
  void shouldAdmitNothingUntilEveryEntryHasPutTheChangeInForce() {
    startEngine();
    cluster.drop(owner);
    cluster.freeze(owner);
    String next = cluster.ownerOf(PoolFixture.POOL);

    cluster.spreadTo(next);
    cluster.announce(next, ENGINE);
    cluster.pass(Duration.ofSeconds(3));

    assertThat(cluster.admit(next, 5)).isEmpty();
  }

  @Test
  void shouldCountWhatADeadOwnerAdmittedByReports() {
    startEngine();
    List<Ticket> before = cluster.admit("entry-1", 2);

    cluster.freeze(owner);
    cluster.drop(owner);
    cluster.spread();
    String next = cluster.ownerOf(PoolFixture.POOL);
    cluster.announce(next, ENGINE);
    List<Ticket> tooEarly = cluster.admit(next, 5);
    letReportsShow(next, before.size());

    assertThat(tooEarly).isEmpty();
    assertThat(cluster.admit(next, 5)).hasSize(COLD - before.size());
  }

  @Test
  void shouldAdmitNothingWhileTheOwnerHasNoFreshLease() {
    startEngine();

    cluster.memberships.get(owner).lease = false;

    assertThat(cluster.admit(other(), 5)).isEmpty();
  }

  @Test
  void shouldGiveNoTicketsAtAnEntryWithoutAFreshLease() {
    startEngine();

    cluster.memberships.get(other()).lease = false;

    assertThat(cluster.admit(other(), 5)).isEmpty();
  }

  @Test
  void shouldStopAdmittingWithTheFirstViewThatNamesAnotherOwner() {
    startEngine();
    List<Ticket> before = cluster.admit(owner, 1);

    cluster.drop(owner);
    cluster.spreadTo(owner);

    assertThat(before).hasSize(1);
    assertThat(cluster.admit(owner, 5)).isEmpty();
  }

  @Test
  void shouldWaitWhereAnotherEntryMayHaveOwnedThePoolUnseen() {
    startEngine();

    cluster.add("entry-4");
    cluster.stopping("entry-4");
    cluster.spreadTo(owner);
    List<Ticket> before = cluster.admit(owner, 5);
    cluster.everyoneHas();
    cluster.pass(SETTLED);

    assertThat(before).isEmpty();
    assertThat(cluster.admit(owner, 5)).hasSize(COLD);
  }

  @Test
  void shouldTakeTicketsBackAtTheNextOwner() {
    startEngine();
    List<Ticket> tickets = cluster.admit(other(), COLD);
    cluster.stopping(owner);
    cluster.spread();
    cluster.pass(Duration.ofMillis(300));

    tickets.forEach(each -> cluster.services.get(other()).finished(each, DONE));

    assertThat(cluster.admit(other(), 2)).hasSize(2);
  }

  @Test
  void shouldNotLeakCapacityWhenTheAnswerWithTheTicketIsLost() {
    startEngine();
    cluster.answersLost.add(Method.ADMIT);
    List<Ticket> lost = cluster.admit(other(), COLD);
    cluster.answersLost.clear();

    cluster.pass(Duration.ofMillis(500));

    assertThat(lost).isEmpty();
    assertThat(cluster.admit(other(), COLD)).hasSize(COLD);
  }

  @Test
  void shouldCountTheTicketsOfADeadEntryUntilReportsShowThatTheyEnded() {
    startEngine();
    List<Ticket> ofTheDead = cluster.admit(other(), 2);

    cluster.freeze(other());
    cluster.drop(other());
    cluster.spread();
    int whileRunning = cluster.admit(owner, 5).size();
    letReportsShow(owner, COLD);
    int stillRunning = cluster.admit(owner, 5).size();
    letReportsShow(owner, COLD);
    letReportsShow(owner, whileRunning);

    assertThat(ofTheDead).hasSize(2);
    assertThat(whileRunning).isEqualTo(COLD - 2);
    assertThat(stillRunning).isEqualTo(0);
    assertThat(cluster.admit(owner, 5)).hasSize(2);
  }

  private void startEngine() {
    cluster.pass(SETTLED);
    cluster.announce("entry-1", ENGINE);
    letReportsShow(owner, 0);
  }

  private void letReportsShow(String entry, int running) {
    for (int i = 0; i < 6; i++) {
      cluster.pass(Duration.ofMillis(500));
      boolean known =
          cluster.report(
              entry, new Report("engine-1", "boot-1", ++sequence, running, 0, 0, 0, false));
      assertThat(known).isTrue();
    }
  }

  private String other() {
    return cluster.services.keySet().stream()
        .filter(each -> !each.equals(owner))
        .findFirst()
        .orElseThrow();
  }
}
