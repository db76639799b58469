package org.cuminrack.process;

import com.google.common.flogger.FluentLogger;
import java.lang.reflect.Proxy;
import org.cuminrack.log.LogEvent;

/**
 * Runs a task on SIGHUP, which would end the process otherwise. The JDK's signal class is reached
 * by reflection, as the compiler refuses it under warnings as errors.
 */
public final class ReloadSignal {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private ReloadSignal() {}

  /** Runs a task, on a thread of its own, at each SIGHUP from now on. */
  public static void onHangUp(Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              ReloadSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> {
                run(task);
                return null;
              });
      Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
    } catch (ReflectiveOperationException e) {
      logger.atWarning().withCause(e).log("%s", LogEvent.named("no-reload-signal"));
    }
  }

  private static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.named("reload-failed"));
    }
  }
}
