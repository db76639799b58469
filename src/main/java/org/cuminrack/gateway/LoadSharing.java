package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminrack.fleet.FleetView;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.generated.fleet.LoadCall;
import org.cuminrack.generated.fleet.UpstreamLoadData;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireServer;

/**
 * Tells the other gateways what this one has running, and takes what they say. A gateway that dies
 * falls silent, and what it had running is forgotten with it.
 */
public final class LoadSharing implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final byte[] NOTHING = {};

  /** The shorter, the less two gateways choose the same place; each costs a message a gateway. */
  private static final Duration INTERVAL = Duration.ofMillis(50);

  /** How often an unchanged load is repeated, so that it does not count as lost. */
  private static final Duration REPEAT = Duration.ofMillis(500);

  private static final Duration TIMEOUT = Duration.ofMillis(500);

  private final String vm;
  private final LoadTable loads;
  private final FleetView view;
  private final WireClient wire;
  private final Runnable onTold;
  private ScheduledExecutorService worker;
  private Map<String, UpstreamLoad> sent = Map.of();
  private int quietRounds;

  /**
   * Makes a service.
   *
   * @param onTold called after another gateway's load changed
   */
  public LoadSharing(String vm, LoadTable loads, FleetView view, WireClient wire, Runnable onTold) {
    this.vm = vm;
    this.loads = loads;
    this.view = view;
    this.wire = wire;
    this.onTold = onTold;
  }

  /** Serves the call of the other gateways; call before the server starts. */
  public void register(WireServer server) {
    server.serve(Method.SHARE_LOAD, this::take);
  }

  @Override
  public void start() {
    worker =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "load-sharing");
              thread.setDaemon(true);
              return thread;
            });
    worker.scheduleWithFixedDelay(
        this::shareOrLog, INTERVAL.toMillis(), INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    if (worker != null) {
      worker.shutdownNow();
      worker = null;
    }
  }

  private void shareOrLog() {
    try {
      share();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.named("load-sharing-failed"));
    }
  }

  private void share() {
    Map<String, UpstreamLoad> now = loads.own();
    quietRounds++;
    if (now.equals(sent) && quietRounds < REPEAT.dividedBy(INTERVAL)) {
      return;
    }
    sent = now;
    quietRounds = 0;
    LoadCall.Builder call = LoadCall.newBuilder().setVm(vm);
    now.forEach(
        (id, load) ->
            call.addLoads(
                UpstreamLoadData.newBuilder()
                    .setId(id)
                    .setRunning(load.requests())
                    .setReservedTokens(load.reservedTokens())
                    .setUnreadPromptTokens(load.unreadPromptTokens())));
    byte[] payload = call.build().toByteArray();
    for (GatewayRecord gateway : view.gateways()) {
      if (!gateway.vm().equals(vm)) {
        wire.call(gateway.wireAddress(), Method.SHARE_LOAD, payload, TIMEOUT);
      }
    }
  }

  private CompletableFuture<byte[]> take(byte[] payload) {
    LoadCall call;
    try {
      call = LoadCall.parseFrom(payload);
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
    Map<String, UpstreamLoad> told = new HashMap<>();
    for (UpstreamLoadData each : call.getLoadsList()) {
      told.put(
          each.getId(),
          new UpstreamLoad(
              each.getRunning(), each.getReservedTokens(), each.getUnreadPromptTokens()));
    }
    loads.told(call.getVm(), told);
    onTold.run();
    return CompletableFuture.completedFuture(NOTHING);
  }
}
