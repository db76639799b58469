package org.cuminrack.process;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cuminrack.lifecycle.ManagedService;

/** Starts services in the order they were added and stops the started ones in reverse order. */
final class ServiceStack implements ManagedService {
  private final Deque<ManagedService> pending = new ArrayDeque<>();
  private final Deque<ManagedService> started = new ArrayDeque<>();

  /** Adds a service that starts after those already added. */
  <T extends ManagedService> T add(T service) {
    pending.addLast(service);
    return service;
  }

  @Override
  public void start() {
    try {
      while (!pending.isEmpty()) {
        ManagedService next = pending.removeFirst();
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
