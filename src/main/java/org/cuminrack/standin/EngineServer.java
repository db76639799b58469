package org.cuminrack.standin;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cuminrack.http.HttpServer;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/** A stand-in engine: serves generations over HTTP and announces itself to the entries. */
public final class EngineServer implements StandIn, UpstreamState {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long MAX_BODY_BYTES = 4 << 20;
  private static final Duration LOOP_TIMEOUT = Duration.ofSeconds(1);
  private static final EngineLoad NO_LOAD = new EngineLoad(0, 0, 0, 0);

  private final EngineOptions options;
  private final Clock clock;
  private final BehaviourHolder behaviour = new BehaviourHolder();
  private final EngineLoop loop;
  private final HttpServer server;
  private Announcer announcer;
  private volatile boolean leaving;

  private EngineServer(EngineOptions options, Clock clock, Runnable crash) {
    this.options = options;
    this.clock = clock;
    this.loop = new EngineLoop(options, behaviour, clock, crash);
    CommandLog commands = new CommandLog(options.checksFencing());
    EngineHandlers handlers =
        new EngineHandlers(options, loop, commands, behaviour, clock, () -> leaving);
    this.server = new HttpServer(options.listen(), handlers.root(), MAX_BODY_BYTES);
  }

  /**
   * Returns an engine that has not been started yet.
   *
   * @param crash simulates a crash: ends the process, or stops this engine in a test
   */
  public static EngineServer of(EngineOptions options, Clock clock, Runnable crash) {
    return new EngineServer(options, clock, crash);
  }

  @Override
  public void start() {
    server.start();
    loop.start();
    Announcement announcement = announcement();
    announcer = new Announcer(announcement, options.entries(), this, options.lag(), clock);
    announcer.start();
    logger.atInfo().log(
        "%s",
        LogEvent.named("started")
            .with("upstream", options.name())
            .with("boot_id", options.bootId())
            .with("address", address()));
  }

  @Override
  public void stop() {
    if (announcer != null) {
      announcer.stop();
    }
    loop.stop();
    server.stop();
  }

  @Override
  public String address() {
    return options.listen().getAddress().getHostAddress() + ":" + server.port();
  }

  @Override
  public void leave() {
    leaving = true;
    announcer.leave();
  }

  @Override
  public boolean canStop() {
    return announcer.isLeaveReportDone() && awaitOrDefault(loop.isIdle(), false);
  }

  @Override
  public void setBehaviour(Behaviour next) {
    behaviour.set(next);
    loop.applyOneTimeFaults(next);
  }

  @Override
  public EngineLoad load() {
    return awaitOrDefault(loop.load(), NO_LOAD);
  }

  @Override
  public CacheChange drainCacheChange() {
    return awaitOrDefault(loop.drainCacheChange(), CacheChange.none());
  }

  @Override
  public boolean sendsReports() {
    Behaviour current = behaviour.current();
    return !current.muteReports() && !current.hang() && !current.silent();
  }

  private Announcement announcement() {
    EngineProfile profile = options.profile();
    return new Announcement(
        options.name(),
        options.bootId(),
        options.dataCentre(),
        options.service(),
        address(),
        profile.coldLimit(),
        profile.warmLimit(),
        profile.memoryTokens(),
        options.checksFencing(),
        options.model(),
        options.version());
  }

  /** Returns the future's value, or the default if it fails or times out. */
  private static <T> T awaitOrDefault(CompletableFuture<T> future, T defaultValue) {
    try {
      return future.get(LOOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return defaultValue;
    } catch (ExecutionException | TimeoutException e) {
      return defaultValue;
    }
  }
}
