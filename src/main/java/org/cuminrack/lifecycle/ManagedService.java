package org.cuminrack.lifecycle;

/** A component that owns threads, ports or files from start to stop. */
public interface ManagedService {

  /** Acquires resources and starts the service; throws if a resource is unavailable. */
  void start();

  /** Stops the service and releases its resources. A second call has no effect. */
  void stop();
}
