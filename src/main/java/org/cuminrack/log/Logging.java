package org.cuminrack.log;

import java.util.List;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets the process's log up: one key=value line an event. */
public final class Logging {
  private static final Logger ROOT = Logger.getLogger("");

  /** Libraries that announce their versions at each start; held, as loggers are kept weakly. */
  private static final List<Logger> TALKATIVE =
      List.of(
          Logger.getLogger("io.undertow"),
          Logger.getLogger("org.xnio"),
          Logger.getLogger("org.jboss.threads"));

  private Logging() {}

  /** Sends every log of a command, libraries' too, to standard error. */
  public static void configure(Level level) {
    ConsoleHandler handler = new ConsoleHandler();
    handler.setFormatter(new KeyValueFormatter());
    use(handler, level);
  }

  /** Sends every log of a serving process to standard output, without ever waiting for it. */
  public static void serve(Level level) {
    use(new BoundedHandler(System.out), level);
  }

  /** Writes out what is waiting, as far as the output takes it. */
  public static void flush() {
    for (Handler handler : ROOT.getHandlers()) {
      handler.flush();
    }
  }

  private static void use(Handler handler, Level level) {
    for (Handler each : ROOT.getHandlers()) {
      ROOT.removeHandler(each);
    }
    handler.setLevel(level);
    ROOT.addHandler(handler);
    ROOT.setLevel(level);
    TALKATIVE.forEach(each -> each.setLevel(Level.WARNING));
  }
}
