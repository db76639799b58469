package org.cuminrack.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets the process's log up: one key=value line an event, on standard error. */
public final class Logging {
  private static final Logger ROOT = Logger.getLogger("");

  private Logging() {}

  /** Sends every log of this process, libraries' too, through the key=value form. */
  public static void configure(Level level) {
    for (Handler handler : ROOT.getHandlers()) {
      ROOT.removeHandler(handler);
    }
    ConsoleHandler handler = new ConsoleHandler();
    handler.setFormatter(new KeyValueFormatter());
    handler.setLevel(level);
    ROOT.addHandler(handler);
    ROOT.setLevel(level);
  }
}
