package org.cuminrack.standin;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import org.cuminrack.http.HttpServer;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/**
 * A stand-in shop: serves calls over HTTP, counts executions and announces itself to the entries.
 */
public final class ShopServer implements StandIn, UpstreamState {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long MAX_BODY_BYTES = 4 << 20;

  private final ShopOptions options;
  private final Clock clock;
  private final BehaviourHolder behaviour = new BehaviourHolder();
  private final ExecutionCounter executionCounter = new ExecutionCounter();
  private final ShopHandlers handlers;
  private final HttpServer server;
  private Announcer announcer;

  private ShopServer(ShopOptions options, Clock clock, Runnable crash) {
    this.options = options;
    this.clock = clock;
    this.handlers = new ShopHandlers(options, executionCounter, behaviour, crash);
    this.server = new HttpServer(options.listen(), handlers.root(), MAX_BODY_BYTES);
  }

  /**
   * Returns a shop that has not been started yet.
   *
   * @param crash simulates a crash: ends the process, or stops this shop in a test
   */
  public static ShopServer of(ShopOptions options, Clock clock, Runnable crash) {
    return new ShopServer(options, clock, crash);
  }

  @Override
  public void start() {
    server.start();
    announcer = new Announcer(announcement(), options.entries(), this, options.lag(), clock);
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
    server.stop();
  }

  @Override
  public String address() {
    return options.listen().getAddress().getHostAddress() + ":" + server.port();
  }

  @Override
  public void leave() {
    announcer.leave();
  }

  @Override
  public boolean canStop() {
    return announcer.isLeaveReportDone() && handlers.running() == 0;
  }

  @Override
  public void setBehaviour(Behaviour next) {
    behaviour.set(next);
  }

  /** Returns the number of executions by idempotency key. */
  public Map<String, Integer> executions() {
    return executionCounter.executions(options.name()).executions();
  }

  @Override
  public EngineLoad load() {
    return new EngineLoad(handlers.running(), 0, 0, 0);
  }

  @Override
  public CacheChange drainCacheChange() {
    return CacheChange.none();
  }

  @Override
  public boolean sendsReports() {
    Behaviour current = behaviour.current();
    return !current.muteReports() && !current.hang() && !current.silent();
  }

  private Announcement announcement() {
    return new Announcement(
        options.name(),
        options.bootId(),
        options.dataCentre(),
        options.service(),
        address(),
        options.coldLimit(),
        options.warmLimit(),
        0,
        false,
        null,
        null);
  }
}
