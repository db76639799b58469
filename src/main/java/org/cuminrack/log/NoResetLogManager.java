package org.cuminrack.log;

import java.util.logging.LogManager;

/**
 * Keeps log handlers open while the JVM shuts down, so that a graceful stop is logged completely.
 * The standard manager removes its handlers as soon as the shutdown begins.
 */
public final class NoResetLogManager extends LogManager {
  /**
   * The system property that names the log manager; read at the first use of java.util.logging. A
   * call of a method of this class is already such a use, since it initialises the superclass.
   */
  public static final String PROPERTY = "java.util.logging.manager";

  @Override
  public void reset() {}
}
