package org.cuminrack.log;

import java.util.logging.LogManager;

/**
 * Keeps the log open while the JVM shuts down, so that a planned stop is logged to its end; the
 * standard manager drops its handlers as soon as the shutdown begins.
 */
public final class KeepingLogManager extends LogManager {
  private static final String PROPERTY = "java.util.logging.manager";

  /** Chooses this manager; takes effect only before the first log of the process. */
  public static void install() {
    System.setProperty(PROPERTY, KeepingLogManager.class.getName());
  }

  @Override
  public void reset() {}
}
