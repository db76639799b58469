package org.cuminrack.fairshare;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class QueuePolicyTest {
  private static final Duration ON_TIME = Duration.ofSeconds(1);

  private final ManualClock clock = new ManualClock();
  private final List<String> served = new ArrayList<>();
  private int freeSlots;

  @ParameterizedTest
  @EnumSource
  void shouldServeTheMoreUrgentPriorityFirst(QueuePolicy policy) {
    ServiceQueue queue = queue(policy);
    enter(queue, "plans", 1);
    enter(queue, "questions", 0);
    release(queue, 1);

    assertThat(served).containsExactly("questions");
  }

  @Test
  void shouldOrderByArrivalWhateverAnOrganisationHolds() {
    ServiceQueue queue = queue(QueuePolicy.ARRIVAL);
    competeForOneSlot(queue);

    assertThat(served).containsExactly("large", "large").inOrder();
  }

  @Test
  void shouldPutAnOrganisationThatHoldsMoreBehindOthers() {
    ServiceQueue queue = queue(QueuePolicy.FAIR_SHARES);
    competeForOneSlot(queue);

    assertThat(served).containsExactly("large", "small").inOrder();
  }

  @Test
  void shouldNotLetSmallerRequestsOvertakeALargeOneByArrival() {
    ServiceQueue queue = queue(QueuePolicy.ARRIVAL);
    enter(queue, "large", 0, 2);
    enter(queue, "small", 0, 1);

    release(queue, 1);
    assertThat(served).isEmpty();
    release(queue, 1);

    assertThat(served).containsExactly("large");
  }

  @Test
  void shouldWaitByArrivalUntilAPlaceIsTooLateForTheTarget() {
    ServiceQueue queue = queue(QueuePolicy.ARRIVAL);
    QueueEntry entry = enter(queue, "a", 0);

    clock.advance(ON_TIME.minusMillis(1));
    entry.review();
    assertThat(entry.state()).isEqualTo(QueueEntry.State.WAITING);
    clock.advance(Duration.ofMillis(1));
    entry.review();

    assertThat(entry.state()).isEqualTo(QueueEntry.State.REFUSED);
  }

  private void competeForOneSlot(ServiceQueue queue) {
    freeSlots = 1;
    enter(queue, "large", 0);
    enter(queue, "large", 0);
    enter(queue, "small", 0);
    release(queue, 1);
  }

  private void release(ServiceQueue queue, int slots) {
    freeSlots += slots;
    clock.advance(Duration.ofMillis(300));
    queue.retry();
  }

  private ServiceQueue queue(QueuePolicy policy) {
    return new ServiceQueue(policy, "chat", new DemandTable(clock), organisation -> 1, clock);
  }

  private QueueEntry enter(ServiceQueue queue, String organisation, int priority) {
    return enter(queue, organisation, priority, 1);
  }

  private QueueEntry enter(ServiceQueue queue, String organisation, int priority, int slots) {
    long onTimeNanos = clock.nanoTime() + ON_TIME.toNanos();
    ShareRequest request =
        new ShareRequest(
            new Claimant(organisation, priority), slots, onTimeNanos, onTimeNanos, false);
    return queue.enter(request, new SlotPlacing(organisation, slots));
  }

  /** Takes some of the free slots. */
  private final class SlotPlacing implements Placing {
    private final String organisation;
    private final int slots;

    SlotPlacing(String organisation, int slots) {
      this.organisation = organisation;
      this.slots = slots;
    }

    @Override
    public boolean tryPlace() {
      if (freeSlots < slots) {
        return false;
      }
      freeSlots -= slots;
      served.add(organisation);
      return true;
    }

    @Override
    public int freePlaces(long units, int limit) {
      return Math.min(limit, freeSlots);
    }

    @Override
    public long unitsInUse() {
      return served.size();
    }

    @Override
    public void tryHoldRoom() {}

    @Override
    public boolean holdsRoom() {
      return false;
    }

    @Override
    public void releaseRoom() {}

    @Override
    public void refused() {}
  }
}
