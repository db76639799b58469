package org.cuminrack.fleet;

import java.time.Duration;
import org.cuminrack.lifecycle.ManagedService;

/** Runs tasks later, while it is started. */
interface Timer extends ManagedService {
  /** Returns whether the task will run; it will not on a stopped timer. */
  boolean runAfter(Duration delay, Runnable task);
}
