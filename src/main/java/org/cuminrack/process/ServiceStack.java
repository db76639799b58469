package org.cuminrack.process;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cuminrack.lifecycle.ManagedService;

/** Starts services one after the other, and stops those that started in the opposite order. */
final class ServiceStack implements ManagedService {
  private final Deque<ManagedService> waiting = new ArrayDeque<>();
  private final Deque<ManagedService> started = new ArrayDeque<>();

  /** Adds a service, to be started after those added before. */
  <T extends ManagedService> T add(T service) {
    waiting.addLast(service);
    return service;
  }

  @Override
  public void start() {
    try {
      while (!waiting.isEmpty()) {
        ManagedService next = waiting.removeFirst();
        next.start();
        started.addFirst(next);
      }
    } catch (RuntimeException e) {
      stop();
      throw e;
    }
  }

  @Override
  public void stop() {
    while (!started.isEmpty()) {
      started.removeFirst().stop();
    }
  }
}
