package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class GenerationQueueTest {
  private final GenerationQueue queue = new GenerationQueue();
  private final List<String> placed = new ArrayList<>();
  private int free;

  @Test
  void shouldPlaceAtOnceWhereThereIsRoom() {
    free = 1;

    assertThat(enter("a", 1)).isEmpty();
    assertThat(placed).containsExactly("a");
  }

  @Test
  void shouldPlaceTheMostUrgentFirst() {
    enter("plan", 1);
    enter("question", 0);
    free = 1;

    queue.retry();

    assertThat(placed).containsExactly("question");
  }

  @Test
  void shouldKeepTheOrderOfArrivalWithinAPriority() {
    enter("first", 1);
    enter("second", 1);
    free = 2;

    queue.retry();

    assertThat(placed).containsExactly("first", "second").inOrder();
  }

  @Test
  void shouldNotLetALaterOnePassThoseWhoWait() {
    enter("first", 1);
    free = 1;

    enter("second", 1);

    assertThat(placed).isEmpty();
  }

  @Test
  void shouldForgetOneThatLeft() {
    Optional<Runnable> leave = enter("a", 1);

    leave.get().run();

    assertThat(queue.size()).isEqualTo(0);
  }

  private Optional<Runnable> enter(String name, int priority) {
    return queue.enter(
        priority,
        () -> {
          if (free == 0) {
            return false;
          }
          free--;
          placed.add(name);
          return true;
        });
  }
}
