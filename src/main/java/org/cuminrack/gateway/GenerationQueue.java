package org.cuminrack.gateway;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.cuminrack.fairshare.DemandTable;
import org.cuminrack.fairshare.QueuePolicy;
import org.cuminrack.fairshare.ReturnOrder;
import org.cuminrack.fairshare.ServiceQueue;
import org.cuminrack.time.Clock;

/** The queues of all services, and the order in which their refused callers return. Thread-safe. */
final class GenerationQueue {
  private final QueuePolicy policy;
  private final DemandTable demand;
  private final ToDoubleFunction<String> weights;
  private final Clock clock;
  private final RandomGenerator random;
  private final Map<String, ServiceQueue> queues = new ConcurrentHashMap<>();
  private final Map<String, ReturnOrder> returns = new ConcurrentHashMap<>();

  /**
   * Creates the queues.
   *
   * @param weights the weight of an organisation, more than 0
   */
  GenerationQueue(
      QueuePolicy policy,
      DemandTable demand,
      ToDoubleFunction<String> weights,
      Clock clock,
      RandomGenerator random) {
    this.policy = policy;
    this.demand = demand;
    this.weights = weights;
    this.clock = clock;
    this.random = random;
  }

  ServiceQueue of(String service) {
    return queues.computeIfAbsent(
        service, name -> new ServiceQueue(policy, name, demand, weights, clock));
  }

  ReturnOrder returns(String service) {
    return returns.computeIfAbsent(service, name -> new ReturnOrder(clock, random));
  }

  /** Places waiting requests that there is room for; costs little if none waits. */
  void retry() {
    queues.values().forEach(ServiceQueue::retry);
  }

  /** Returns the services of the waiting requests. */
  Set<String> waitingServices() {
    return queues.entrySet().stream()
        .filter(queue -> queue.getValue().size() > 0)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  int size() {
    return queues.values().stream().mapToInt(ServiceQueue::size).sum();
  }
}
