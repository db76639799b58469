package org.cuminrack.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/** The waiting requests of one organisation and priority, in order. */
final class Flow {
  private record Entry(QueuedRequest request, double start) {}

  private final FlowKey key;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private double lastFinish;

  Flow(FlowKey key) {
    this.key = key;
  }

  FlowKey key() {
    return key;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  int size() {
    return entries.size();
  }

  double lastFinish() {
    return lastFinish;
  }

  double headStart() {
    return entries.getFirst().start();
  }

  QueuedRequest head() {
    return entries.getFirst().request();
  }

  void add(QueuedRequest request, double start, double finish) {
    entries.addLast(new Entry(request, start));
    lastFinish = finish;
  }

  QueuedRequest poll() {
    return entries.removeFirst().request();
  }

  double startOf(QueuedRequest request) {
    Iterator<Entry> fromLast = entries.descendingIterator();
    while (fromLast.hasNext()) {
      Entry each = fromLast.next();
      if (each.request().id() == request.id()) {
        return each.start();
      }
    }
    return lastFinish;
  }

  int startingBefore(double start) {
    int count = 0;
    for (Entry each : entries) {
      if (each.start() >= start) {
        return count;
      }
      count++;
    }
    return count;
  }

  boolean remove(QueuedRequest request) {
    return !removeIf(each -> each.id() == request.id()).isEmpty();
  }

  /** Takes requests out; those at the end give their share of virtual time back. */
  List<QueuedRequest> removeIf(Predicate<QueuedRequest> condition) {
    List<QueuedRequest> removed = new ArrayList<>();
    boolean atEnd = true;
    Iterator<Entry> fromLast = entries.descendingIterator();
    while (fromLast.hasNext()) {
      Entry each = fromLast.next();
      boolean goes = condition.test(each.request());
      if (goes) {
        fromLast.remove();
        removed.add(each.request());
      }
      lastFinish = goes && atEnd ? each.start() : lastFinish;
      atEnd &= goes;
    }
    return removed;
  }
}
