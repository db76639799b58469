package org.cuminrack.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.wire.Method;
import org.junit.jupiter.api.Test;

class OwnerChangeTest {
  private static final int COLD_LIMIT = 3;
  private static final Announcement ENGINE =
      PoolFixture.announcement("engine-1", "boot-1", COLD_LIMIT, 16, 0);

  /** Time after which an owner without a hand-over begins to admit requests. */
  private static final Duration ACTIVATION_TIME = Duration.ofMillis(1100);

  private static final TicketOutcome DONE =
      new TicketOutcome(TicketOutcome.Result.COMPLETED, 10, Duration.ofMillis(100));

  private final FakeCluster cluster =
      new FakeCluster().withEntries("entry-1", "entry-2", "entry-3");
  private final String owner = cluster.ownerOf(PoolFixture.POOL);
  private long reportSequence;

  @Test
  void shouldNotExceedTheColdLimitSummedOverAllEntries() {
    startEngine();

    int admitted =
        cluster.admit("entry-1", 5).size()
            + cluster.admit("entry-2", 5).size()
            + cluster.admit("entry-3", 5).size();

    assertThat(admitted).isEqualTo(COLD_LIMIT);
  }

  @Test
  void shouldCountTicketsHandedOverByTheFormerOwner() {
    startEngine();
    List<Ticket> ticketsBefore = cluster.admit("entry-1", 2);

    cluster.stop(owner);
    cluster.publishView();
    cluster.advance(Duration.ofMillis(300));

    assertThat(ticketsBefore).hasSize(2);
    assertThat(cluster.admit(nonOwner(), 5)).hasSize(COLD_LIMIT - 2);
  }

  @Test
  void shouldAdmitNothingUntilEveryEntryHasPutTheChangeInForce() {
    startEngine();
    cluster.drop(owner);
    cluster.freeze(owner);
    String next = cluster.ownerOf(PoolFixture.POOL);

    cluster.publishViewTo(next);
    cluster.announce(next, ENGINE);
    cluster.advance(Duration.ofSeconds(3));

    assertThat(cluster.admit(next, 5)).isEmpty();
  }

  @Test
  void shouldCountRequestsOfADeadOwnerFromReports() {
    startEngine();
    List<Ticket> ticketsBefore = cluster.admit("entry-1", 2);

    cluster.freeze(owner);
    cluster.drop(owner);
    cluster.publishView();
    String next = cluster.ownerOf(PoolFixture.POOL);
    cluster.announce(next, ENGINE);
    List<Ticket> ticketsBeforeReports = cluster.admit(next, 5);
    reportRunning(next, ticketsBefore.size());

    assertThat(ticketsBeforeReports).isEmpty();
    assertThat(cluster.admit(next, 5)).hasSize(COLD_LIMIT - ticketsBefore.size());
  }

  @Test
  void shouldAdmitNothingWhileTheOwnerHasNoValidLease() {
    startEngine();

    cluster.memberships.get(owner).validLease = false;

    assertThat(cluster.admit(nonOwner(), 5)).isEmpty();
  }

  @Test
  void shouldAdmitNothingAtAnEntryWithoutAValidLease() {
    startEngine();

    cluster.memberships.get(nonOwner()).validLease = false;

    assertThat(cluster.admit(nonOwner(), 5)).isEmpty();
  }

  @Test
  void shouldStopAdmittingWithTheFirstViewThatHasAnotherOwner() {
    startEngine();
    List<Ticket> ticketsBefore = cluster.admit(owner, 1);

    cluster.drop(owner);
    cluster.publishViewTo(owner);

    assertThat(ticketsBefore).hasSize(1);
    assertThat(cluster.admit(owner, 5)).isEmpty();
  }

  @Test
  void shouldSuspendAdmissionWhenAnotherEntryMayHaveOwnedThePool() {
    startEngine();

    cluster.add("entry-4");
    cluster.stop("entry-4");
    cluster.publishViewTo(owner);
    List<Ticket> ticketsWhileSuspended = cluster.admit(owner, 5);
    cluster.acknowledgeView();
    cluster.advance(ACTIVATION_TIME);

    assertThat(ticketsWhileSuspended).isEmpty();
    assertThat(cluster.admit(owner, 5)).hasSize(COLD_LIMIT);
  }

  @Test
  void shouldReturnTicketsToTheNextOwner() {
    startEngine();
    List<Ticket> tickets = cluster.admit(nonOwner(), COLD_LIMIT);
    cluster.stop(owner);
    cluster.publishView();
    cluster.advance(Duration.ofMillis(300));

    tickets.forEach(each -> cluster.services.get(nonOwner()).returnTicket(each, DONE));

    assertThat(cluster.admit(nonOwner(), 2)).hasSize(2);
  }

  @Test
  void shouldNotLeakCapacityWhenTheResponseWithTheTicketIsLost() {
    startEngine();
    cluster.methodsLosingResponses.add(Method.ADMIT);
    List<Ticket> lost = cluster.admit(nonOwner(), COLD_LIMIT);
    cluster.methodsLosingResponses.clear();

    cluster.advance(Duration.ofMillis(500));

    assertThat(lost).isEmpty();
    assertThat(cluster.admit(nonOwner(), COLD_LIMIT)).hasSize(COLD_LIMIT);
  }

  @Test
  void shouldCountTheTicketsOfADeadEntryUntilReportsShowThatTheyEnded() {
    startEngine();
    List<Ticket> ticketsOfDeadEntry = cluster.admit(nonOwner(), 2);

    cluster.freeze(nonOwner());
    cluster.drop(nonOwner());
    cluster.publishView();
    int admittedWhileRunning = cluster.admit(owner, 5).size();
    reportRunning(owner, COLD_LIMIT);
    int admittedWhileReportedRunning = cluster.admit(owner, 5).size();
    reportRunning(owner, COLD_LIMIT);
    reportRunning(owner, admittedWhileRunning);

    assertThat(ticketsOfDeadEntry).hasSize(2);
    assertThat(admittedWhileRunning).isEqualTo(COLD_LIMIT - 2);
    assertThat(admittedWhileReportedRunning).isEqualTo(0);
    assertThat(cluster.admit(owner, 5)).hasSize(2);
  }

  private void startEngine() {
    cluster.advance(ACTIVATION_TIME);
    cluster.announce("entry-1", ENGINE);
    reportRunning(owner, 0);
  }

  private void reportRunning(String entry, int running) {
    for (int i = 0; i < 6; i++) {
      cluster.advance(Duration.ofMillis(500));
      boolean accepted =
          cluster.report(
              entry, new Report("engine-1", "boot-1", ++reportSequence, running, 0, 0, 0, false));
      assertThat(accepted).isTrue();
    }
  }

  private String nonOwner() {
    return cluster.services.keySet().stream()
        .filter(each -> !each.equals(owner))
        .findFirst()
        .orElseThrow();
  }
}
