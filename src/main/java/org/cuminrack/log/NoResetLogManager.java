package org.cuminrack.log;

import java.util.logging.LogManager;

/**
 * Keeps log handlers open while the JVM shuts down, so that a graceful stop is logged completely.
 * The standard manager removes its handlers as soon as the shutdown begins.
 */
public final class NoResetLogManager extends LogManager {
  private static final String PROPERTY = "java.util.logging.manager";

  /** Installs this manager; has an effect only before the first use of java.util.logging. */
  public static void install() {
    System.setProperty(PROPERTY, NoResetLogManager.class.getName());
  }

  @Override
  public void reset() {}
}
