package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.cuminrack.admission.Priority;

/**
 * Start-time fair queueing of predicted tokens among organisations, and among the priorities of
 * each organisation. The organisation with the smallest start tag is served first; serving a
 * request advances the tag by the request's cost divided by the organisation's weight. Interactive
 * requests get a bounded lead, so that they overtake long ones without giving more capacity to
 * organisations that send many of them.
 */
final class FairQueue {
  private static final double INTERACTIVE_LEAD_TOKENS = 4_000;
  private static final double TIE_BREAK_TAG_STEP = 1e-9;

  private final boolean fair;
  private final Map<String, OrganisationQueue> organisations = new HashMap<>();
  private double virtualTime;
  private double lastArrivalNumber;
  private int size;

  /**
   * @param fair false for a single queue in order of arrival
   */
  FairQueue(boolean fair) {
    this.fair = fair;
  }

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  void add(QueuedRequest request, int organisationWeight) {
    OrganisationQueue queue =
        organisations.computeIfAbsent(
            request.request().organisation(), each -> new OrganisationQueue());
    queue.setWeight(organisationWeight);
    if (queue.isEmpty()) {
      queue.raiseTagTo(virtualTime);
    }
    queue.add(request, ++lastArrivalNumber);
    size++;
  }

  /** Returns the head to serve next among the flows not excluded. */
  Optional<FlowHead> first(Set<FlowKey> excluded) {
    FlowHead first = null;
    double lowestTag = Double.POSITIVE_INFINITY;
    for (OrganisationQueue queue : organisations.values()) {
      for (Priority priority : Priority.values()) {
        if (queue.isEmpty(priority)) {
          continue;
        }
        QueuedRequest head = queue.head(priority);
        double tag = tag(queue, priority);
        if (tag < lowestTag && !excluded.contains(head.flow())) {
          lowestTag = tag;
          first = new FlowHead(head.flow(), head);
        }
      }
    }
    return Optional.ofNullable(first);
  }

  /** Removes a head that is served and advances its organisation's tag. */
  void serve(FlowHead head) {
    OrganisationQueue queue = organisations.get(head.flow().organisation());
    virtualTime = Math.max(virtualTime, queue.tag());
    queue.serve(head.flow().priority());
    size--;
  }

  /** Returns the number of requests that are served before a queued one. */
  int countAhead(QueuedRequest request) {
    OrganisationQueue ownQueue = organisations.get(request.request().organisation());
    if (!fair) {
      double arrivalNumber = ownQueue.arrivalNumberOf(request);
      return organisations.values().stream()
          .mapToInt(each -> each.countArrivedBefore(arrivalNumber))
          .sum();
    }
    Priority priority = request.request().priority();
    double start = ownQueue.startTagOf(request) - lead(ownQueue, priority);
    int ahead = ownQueue.countAheadInFlow(request);
    for (OrganisationQueue each : organisations.values()) {
      ahead +=
          each == ownQueue ? 0 : each.countStartingBefore(start, lead(each, Priority.INTERACTIVE));
    }
    return ahead;
  }

  /** Removes matching requests without serving them. */
  List<QueuedRequest> removeIf(Predicate<QueuedRequest> condition) {
    List<QueuedRequest> removed = new ArrayList<>();
    organisations.values().forEach(each -> removed.addAll(each.removeIf(condition)));
    size -= removed.size();
    return removed;
  }

  /** Removes a request, if present, without serving it. */
  void remove(QueuedRequest request) {
    OrganisationQueue queue = organisations.get(request.request().organisation());
    if (queue != null) {
      size -= queue.removeIf(each -> each.id() == request.id()).size();
    }
  }

  /** Discards organisations without requests whose tag is not ahead of the virtual time. */
  void removeIdleOrganisations() {
    organisations.values().removeIf(each -> each.isEmpty() && each.tag() <= virtualTime);
  }

  private double tag(OrganisationQueue queue, Priority priority) {
    if (!fair) {
      return queue.headArrivalNumber(priority);
    }
    boolean notPreferred = queue.preferredPriority() != priority;
    return queue.tag() - lead(queue, priority) + (notPreferred ? TIE_BREAK_TAG_STEP : 0);
  }

  private static double lead(OrganisationQueue queue, Priority priority) {
    return priority == Priority.INTERACTIVE ? INTERACTIVE_LEAD_TOKENS / queue.weight() : 0;
  }
}
