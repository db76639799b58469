package org.cuminrack.lifecycle;

/**
 * Called when a part has failed without which the process can't do its work. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface FailureHandler {

  /** Handles the failure of a part, such as a thread, named as in the logs. */
  void failed(String part, Throwable cause);

  /** Returns the handler of production: it ends the process, so that it is started again. */
  static FailureHandler endingProcess() {
    return ProcessEnd.INSTANCE;
  }
}
