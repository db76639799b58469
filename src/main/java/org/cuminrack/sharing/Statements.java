package org.cuminrack.sharing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.cuminrack.gateway.Incarnation;

/**
 * The newest statement of any gateway on each start of an upstream. Not thread-safe.
 *
 * @param <T> what is stated
 */
final class Statements<T> {
  private static final Duration TTL = Duration.ofMinutes(10);

  private final Map<Incarnation, Statement<T>> newest = new HashMap<>();

  private static final class Statement<T> {
    final ChangeMark mark = new ChangeMark();
    T value;
    long statedNanos;
  }

  /** Adds a statement; one that is older than the known one has no effect. */
  void add(Incarnation upstream, T value, long statedNanos, String vm, long version) {
    Statement<T> known = newest.get(upstream);
    if (known == null) {
      known = new Statement<>();
      newest.put(upstream, known);
    } else if (statedNanos - known.statedNanos <= 0) {
      return;
    }
    if (!value.equals(known.value)) {
      known.mark.record(vm, version);
    }
    known.value = value;
    known.statedNanos = statedNanos;
  }

  /** Passes on the statements that another gateway than this one has changed after a version. */
  void forEachChanged(String vm, long knownVersion, BiConsumer<Incarnation, T> action) {
    newest.forEach(
        (upstream, statement) -> {
          if (statement.mark.isChangedFor(vm, knownVersion)) {
            action.accept(upstream, statement.value);
          }
        });
  }

  /** Returns the age of the newest statement on an upstream. */
  Duration age(Incarnation upstream, long nowNanos) {
    return Duration.ofNanos(nowNanos - newest.get(upstream).statedNanos);
  }

  boolean isEmpty() {
    return newest.isEmpty();
  }

  void removeExpired(long nowNanos) {
    newest.values().removeIf(statement -> nowNanos - statement.statedNanos > TTL.toNanos());
  }
}
