package org.cuminrack.log;

import java.util.List;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures logging: one line of key=value pairs per event. */
public final class Logging {
  private static final Logger ROOT = Logger.getLogger("");

  /**
   * Libraries that log their versions at each start. Strong references, since the log manager holds
   * loggers only weakly and a collected logger would lose its level.
   */
  private static final List<Logger> VERBOSE_LIBRARIES =
      List.of(
          Logger.getLogger("io.undertow"),
          Logger.getLogger("org.xnio"),
          Logger.getLogger("org.jboss.threads"));

  private Logging() {}

  /** Logs to standard error, for commands; includes the logs of libraries. */
  public static void configureForCommand(Level level) {
    ConsoleHandler handler = new ConsoleHandler();
    handler.setFormatter(new KeyValueFormatter());
    install(handler, level);
  }

  /** Logs to standard output without blocking, for serving processes. */
  public static void configureForService(Level level) {
    install(new BoundedHandler(System.out), level);
  }

  /** Flushes queued log lines, unless the output is stalled. */
  public static void flush() {
    for (Handler handler : ROOT.getHandlers()) {
      handler.flush();
    }
  }

  private static void install(Handler handler, Level level) {
    for (Handler existing : ROOT.getHandlers()) {
      ROOT.removeHandler(existing);
    }
    handler.setLevel(level);
    ROOT.addHandler(handler);
    ROOT.setLevel(level);
    VERBOSE_LIBRARIES.forEach(library -> library.setLevel(Level.WARNING));
  }
}
