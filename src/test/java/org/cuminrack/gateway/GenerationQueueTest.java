package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cuminrack.fairshare.Claimant;
import org.cuminrack.fairshare.DemandTable;
import org.cuminrack.fairshare.Placing;
import org.cuminrack.fairshare.QueueEntry;
import org.cuminrack.fairshare.QueuePolicy;
import org.cuminrack.fairshare.ShareRequest;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class GenerationQueueTest {
  private final ManualClock clock = new ManualClock();
  private final GenerationQueue queue =
      new GenerationQueue(
          QueuePolicy.FAIR_SHARES, new DemandTable(clock), organisation -> 1, clock, new Random(1));
  private final List<String> served = new ArrayList<>();
  private int freeSlots;

  @Test
  void shouldReserveAtOnceIfThereIsCapacity() {
    freeSlots = 1;

    assertThat(enter("a", 1)).isEmpty();
    assertThat(served).containsExactly("a");
  }

  @Test
  void shouldServeTheMostUrgentPriorityFirst() {
    enter("plan", 1);
    enter("question", 0);
    freeSlots = 1;

    queue.retry();

    assertThat(served).containsExactly("question");
  }

  @Test
  void shouldKeepTheOrderOfArrivalWithinAPriority() {
    enter("first", 1);
    enter("second", 1);
    freeSlots = 2;

    queue.retry();

    assertThat(served).containsExactly("first", "second").inOrder();
  }

  @Test
  void shouldNotLetALaterEntryOvertakeWaitingOnes() {
    enter("first", 1);
    freeSlots = 1;

    enter("second", 1);

    assertThat(served).isEmpty();
  }

  @Test
  void shouldRemoveAnEntryThatLeavesTheQueue() {
    Optional<Runnable> leave = enter("a", 1);

    leave.get().run();

    assertThat(queue.size()).isEqualTo(0);
  }

  /** Returns what removes the entry from the queue; empty if it was placed at once. */
  private Optional<Runnable> enter(String name, int priority) {
    long latestNanos = clock.nanoTime() + Duration.ofSeconds(1).toNanos();
    ShareRequest request =
        new ShareRequest(new Claimant("", priority), 1, latestNanos, latestNanos, false);
    QueueEntry entry = queue.of("engines").enter(request, new SlotPlacing(name));
    return entry.state() == QueueEntry.State.PLACED ? Optional.empty() : Optional.of(entry::end);
  }

  /** Takes one of the free slots. */
  private final class SlotPlacing implements Placing {
    private final String name;

    SlotPlacing(String name) {
      this.name = name;
    }

    @Override
    public boolean tryPlace() {
      if (freeSlots == 0) {
        return false;
      }
      freeSlots--;
      served.add(name);
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
