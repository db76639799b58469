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
 * Start-time fair queueing of predicted tokens over organisations, and within each of them over its
 * priorities. The organisation with the smallest tag goes first; serving a request moves its tag on
 * by the request's cost over the organisation's weight. Interactive requests get a bounded lead, so
 * that they pass long ones but no organisation gains by sending more of them.
 */
final class FairQueue {
  private static final double INTERACTIVE_LEAD_TOKENS = 4_000;
  private static final double TIE_BREAK_TAG_STEP = 1e-9;

  private final boolean fair;
  private final Map<String, OrganisationQueue> organisations = new HashMap<>();
  private double virtualTime;
  private double lastArrival;
  private int size;

  /**
   * @param fair false for one queue in the order of arrival
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
    queue.add(request, ++lastArrival);
    size++;
  }

  /** Returns the head to be served first, of those not excluded. */
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

  /** Takes a head out to be served. */
  void serve(FlowHead head) {
    OrganisationQueue queue = organisations.get(head.flow().organisation());
    virtualTime = Math.max(virtualTime, queue.tag());
    queue.serve(head.flow().priority());
    size--;
  }

  /** Returns how many requests are to be served before this one, which is in the queue. */
  int ahead(QueuedRequest request) {
    OrganisationQueue ownQueue = organisations.get(request.request().organisation());
    if (!fair) {
      double arrived = ownQueue.arrivalOf(request);
      return organisations.values().stream().mapToInt(each -> each.arrivedBefore(arrived)).sum();
    }
    Priority priority = request.request().priority();
    double start = ownQueue.startTagOf(request) - lead(ownQueue, priority);
    int ahead = ownQueue.aheadInFlow(request);
    for (OrganisationQueue each : organisations.values()) {
      ahead += each == ownQueue ? 0 : each.startingBefore(start, lead(each, Priority.INTERACTIVE));
    }
    return ahead;
  }

  /** Takes requests out unserved. */
  List<QueuedRequest> removeIf(Predicate<QueuedRequest> condition) {
    List<QueuedRequest> removed = new ArrayList<>();
    organisations.values().forEach(each -> removed.addAll(each.removeIf(condition)));
    size -= removed.size();
    return removed;
  }

  /** Takes one request out unserved; nothing where it is not here. */
  void remove(QueuedRequest request) {
    OrganisationQueue queue = organisations.get(request.request().organisation());
    if (queue != null) {
      size -= queue.removeIf(each -> each.id() == request.id()).size();
    }
  }

  /** Forgets organisations that have nothing here and nothing to make up for. */
  void forgetIdle() {
    organisations.values().removeIf(each -> each.isEmpty() && each.tag() <= virtualTime);
  }

  private double tag(OrganisationQueue queue, Priority priority) {
    if (!fair) {
      return queue.headArrival(priority);
    }
    boolean notPreferred = queue.preferred() != priority;
    return queue.tag() - lead(queue, priority) + (notPreferred ? TIE_BREAK_TAG_STEP : 0);
  }

  private static double lead(OrganisationQueue queue, Priority priority) {
    return priority == Priority.INTERACTIVE ? INTERACTIVE_LEAD_TOKENS / queue.weight() : 0;
  }
}
