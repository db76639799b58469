package org.cuminrack.standin;

import java.util.concurrent.ThreadFactory;

/** Creates daemon threads, which do not keep the process alive. */
final class DaemonThreads {

  private DaemonThreads() {}

  static ThreadFactory named(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }
}
