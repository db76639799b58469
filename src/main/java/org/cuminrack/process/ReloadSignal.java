package org.cuminrack.process;

import com.google.common.flogger.FluentLogger;
import java.lang.reflect.Proxy;
import org.cuminrack.log.LogEvent;

/**
 * Runs a task on SIGHUP, which by default terminates the process. The JDK's signal class is
 * accessed by reflection, since a direct use causes a compiler warning and warnings are errors.
 */
public final class ReloadSignal {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private ReloadSignal() {}

  /** Registers a task that runs at each SIGHUP, on a separate thread. */
  public static void onSighup(Runnable task) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              ReloadSignal.class.getClassLoader(),
              new Class<?>[] {handlerClass},
              (proxyInstance, method, arguments) -> {
                run(task);
                return null;
              });
      Object sighup = signalClass.getConstructor(String.class).newInstance("HUP");
      signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, sighup, proxy);
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
