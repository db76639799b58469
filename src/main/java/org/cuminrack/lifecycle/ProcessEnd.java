package org.cuminrack.lifecycle;

import com.google.common.flogger.FluentLogger;
import org.cuminrack.log.LogEvent;
import org.cuminrack.log.Logging;

/** Ends the process at once, without a planned stop, which may need the part that has failed. */
enum ProcessEnd implements FailureHandler {
  INSTANCE;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int EXIT_CODE = 1;

  @Override
  public void failed(String part, Throwable cause) {
    try {
      logger.atSevere().withCause(cause).log(
          "%s", LogEvent.named("process-failed").with("part", part));
      Logging.flush();
    } finally {
      Runtime.getRuntime().halt(EXIT_CODE);
    }
  }
}
