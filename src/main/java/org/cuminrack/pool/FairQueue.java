package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.cuminrack.admission.Priority;

/**
 * Start-time fair queueing of predicted tokens over flows. Each request gets a start tag when it
 * arrives; the smallest one goes first. Interactive flows weigh more, so that short requests pass
 * long ones, but no flow can starve another.
 */
final class FairQueue {
  private static final double INTERACTIVE_WEIGHT = 8;

  private final boolean fair;
  private final Map<FlowKey, Flow> flows = new HashMap<>();
  private double virtualTime;
  private double arrivals;
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
    Flow flow = flows.computeIfAbsent(request.flow(), Flow::new);
    double start = fair ? Math.max(virtualTime, flow.lastFinish()) : ++arrivals;
    double weight = organisationWeight * priorityWeight(request.request().priority());
    flow.add(request, start, start + request.costTokens() / weight);
    size++;
  }

  /** Returns the flow whose head has the smallest start tag, of those not excluded. */
  Optional<Flow> first(Set<Flow> excluded) {
    Flow first = null;
    for (Flow each : flows.values()) {
      boolean counts = !each.isEmpty() && !excluded.contains(each);
      if (counts && (first == null || each.headStart() < first.headStart())) {
        first = each;
      }
    }
    return Optional.ofNullable(first);
  }

  /** Takes a flow's head out to be served. */
  QueuedRequest serve(Flow flow) {
    virtualTime = Math.max(virtualTime, flow.headStart());
    size--;
    return flow.poll();
  }

  /** Returns how many requests are to be served before this one, which is in the queue. */
  int ahead(QueuedRequest request) {
    double start = flows.get(request.flow()).startOf(request);
    int ahead = 0;
    for (Flow each : flows.values()) {
      ahead += each.startingBefore(start);
    }
    return ahead;
  }

  /** Takes requests out unserved. */
  List<QueuedRequest> removeIf(Predicate<QueuedRequest> condition) {
    List<QueuedRequest> removed = new ArrayList<>();
    for (Flow each : flows.values()) {
      removed.addAll(each.removeIf(condition));
    }
    size -= removed.size();
    return removed;
  }

  /** Takes one request out unserved; nothing where it is not here. */
  void remove(QueuedRequest request) {
    Flow flow = flows.get(request.flow());
    if (flow != null && flow.remove(request)) {
      size--;
    }
  }

  /** Forgets flows that have nothing here and nothing to make up for. */
  void forgetIdle() {
    flows.values().removeIf(each -> each.isEmpty() && each.lastFinish() <= virtualTime);
  }

  Collection<Flow> flows() {
    return flows.values();
  }

  private static double priorityWeight(Priority priority) {
    return priority == Priority.INTERACTIVE ? INTERACTIVE_WEIGHT : 1;
  }
}
