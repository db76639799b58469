package org.cuminrack.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cuminrack.admission.Priority;

/** The queued requests of one organisation by priority, and its fair-queueing tag. */
final class OrganisationQueue {
  private static final double INTERACTIVE_WEIGHT = 8;

  private final Map<Priority, Deque<Entry>> queues = new EnumMap<>(Priority.class);
  private final Map<Priority, Double> priorityTags = new EnumMap<>(Priority.class);
  private int weight = 1;

  /** Start tag in tokens per weight. */
  private double tag;

  private record Entry(QueuedRequest request, double arrivalNumber) {}

  OrganisationQueue() {
    for (Priority each : Priority.values()) {
      queues.put(each, new ArrayDeque<>());
      priorityTags.put(each, 0.0);
    }
  }

  void setWeight(int weight) {
    this.weight = weight;
  }

  int weight() {
    return weight;
  }

  /** Returns the start tag; the organisation with the smallest one is served first. */
  double tag() {
    return tag;
  }

  void raiseTagTo(double minTag) {
    tag = Math.max(tag, minTag);
  }

  boolean isEmpty() {
    return queues.values().stream().allMatch(Deque::isEmpty);
  }

  boolean isEmpty(Priority priority) {
    return queues.get(priority).isEmpty();
  }

  QueuedRequest head(Priority priority) {
    return queues.get(priority).getFirst().request();
  }

  double headArrivalNumber(Priority priority) {
    return queues.get(priority).getFirst().arrivalNumber();
  }

  void add(QueuedRequest request, double arrivalNumber) {
    Priority priority = request.request().priority();
    if (isEmpty(priority)) {
      priorityTags.merge(priority, priorityTags.get(other(priority)), Math::max);
    }
    queues.get(priority).addLast(new Entry(request, arrivalNumber));
  }

  /** Returns the priority to serve next. */
  Priority preferredPriority() {
    boolean interactiveFirst =
        priorityTags.get(Priority.INTERACTIVE) <= priorityTags.get(Priority.STANDARD);
    Priority first = interactiveFirst ? Priority.INTERACTIVE : Priority.STANDARD;
    return isEmpty(first) ? other(first) : first;
  }

  /** Removes the head of a priority and advances the tags by its cost. */
  void serve(Priority priority) {
    QueuedRequest served = queues.get(priority).removeFirst().request();
    tag += served.costTokens() / weight;
    double priorityWeight = priority == Priority.INTERACTIVE ? INTERACTIVE_WEIGHT : 1;
    priorityTags.merge(priority, served.costTokens() / priorityWeight, Double::sum);
  }

  /** Returns the tag that the organisation will have when this request is served. */
  double startTagOf(QueuedRequest request) {
    double start = tag;
    for (Entry each : queues.get(request.request().priority())) {
      if (each.request().id() == request.id()) {
        return start;
      }
      start += each.request().costTokens() / weight;
    }
    return start;
  }

  /** Returns how many requests of the same priority are queued before this one. */
  int countAheadInFlow(QueuedRequest request) {
    int ahead = 0;
    for (Entry each : queues.get(request.request().priority())) {
      if (each.request().id() == request.id()) {
        return ahead;
      }
      ahead++;
    }
    return ahead;
  }

  /**
   * Returns how many requests have a start tag below a bound; the bound of interactive ones is
   * higher by their lead.
   */
  int countStartingBefore(double bound, double interactiveLead) {
    return countBefore(Priority.INTERACTIVE, bound + interactiveLead)
        + countBefore(Priority.STANDARD, bound);
  }

  double arrivalNumberOf(QueuedRequest request) {
    return queues.get(request.request().priority()).stream()
        .filter(each -> each.request().id() == request.id())
        .mapToDouble(Entry::arrivalNumber)
        .findFirst()
        .orElse(0);
  }

  int countArrivedBefore(double arrivalNumber) {
    return (int)
        queues.values().stream()
            .flatMap(Deque::stream)
            .filter(each -> each.arrivalNumber() < arrivalNumber)
            .count();
  }

  List<QueuedRequest> removeIf(Predicate<QueuedRequest> condition) {
    List<QueuedRequest> removed = new ArrayList<>();
    for (Deque<Entry> queue : queues.values()) {
      Iterator<Entry> entries = queue.iterator();
      while (entries.hasNext()) {
        QueuedRequest request = entries.next().request();
        if (condition.test(request)) {
          entries.remove();
          removed.add(request);
        }
      }
    }
    return removed;
  }

  private int countBefore(Priority priority, double bound) {
    double start = tag;
    int count = 0;
    for (Entry each : queues.get(priority)) {
      if (start >= bound) {
        return count;
      }
      start += each.request().costTokens() / weight;
      count++;
    }
    return count;
  }

  private static Priority other(Priority priority) {
    return priority == Priority.INTERACTIVE ? Priority.STANDARD : Priority.INTERACTIVE;
  }
}
