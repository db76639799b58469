package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class GenerationQueueTest {
  private final GenerationQueue queue = new GenerationQueue();
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

  private Optional<Runnable> enter(String name, int priority) {
    return queue.enter(
        "chat",
        priority,
        () -> {
          if (freeSlots == 0) {
            return false;
          }
          freeSlots--;
          served.add(name);
          return true;
        });
  }
}
