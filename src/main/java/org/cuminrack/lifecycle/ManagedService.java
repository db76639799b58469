package org.cuminrack.lifecycle;

/** A part of a process that owns threads, ports or files from start to stop. */
public interface ManagedService {

  /** Takes what the service needs and begins to work; throws if that is not to be had. */
  void start();

  /** Ends the work and gives everything back. A second call does nothing. */
  void stop();
}
