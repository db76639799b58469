package org.cuminrack.http;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import org.cuminrack.log.LogEvent;
import org.xnio.Options;
import org.xnio.channels.Configurable;

/** Makes connections end with a reset, which discards what is not sent yet. */
public final class SocketReset {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private SocketReset() {}

  /** Makes the next close of a connection reset it. */
  public static void onClose(Configurable connection) {
    try {
      connection.setOption(Options.CLOSE_ABORT, true);
    } catch (IOException e) {
      logger.atWarning().log("%s", LogEvent.named("reset-failed").with("detail", e.getMessage()));
    }
  }
}
