package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminrack.generated.fleet.GatewayData;
import org.cuminrack.generated.fleet.WatchAnswer;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.log.LogEvent;

/** The state of a gateway's long poll to one control VM, and what that VM has told. */
final class ControlPoll {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  final String address;
  volatile boolean answered;
  volatile boolean stateCurrent;
  volatile long lastResponseNanos;
  volatile NamedVoters namedVoters = NamedVoters.NONE;
  private final HeardUpstreams heard = new HeardUpstreams();
  private final Map<String, GatewayRecord> gateways = new HashMap<>();
  private long controlBootId;
  private long lastUpstreamChange;
  private long lastGatewayChange;
  private int controlVms;

  ControlPoll(String address, long nowNanos) {
    this.address = address;
    this.lastResponseNanos = nowNanos;
  }

  /** Adds what the gateway knows from this control VM to a call to it. */
  synchronized void describe(WatchCall.Builder call) {
    call.setChangesOnly(true)
        .setControlBoot(controlBootId)
        .setUpstreamChange(lastUpstreamChange)
        .setGatewayChange(lastGatewayChange)
        .setControlVms(controlVms)
        .setKnownCurrent(stateCurrent);
  }

  /**
   * Records a response.
   *
   * @param calledNanos when the call was sent
   * @return whether it changed which gateways this control VM has told
   */
  synchronized boolean recordResponse(WatchAnswer response, long calledNanos, long nowNanos) {
    if (!answered) {
      logger.atInfo().log("%s", LogEvent.named("control-found").with("control", address));
    }
    if (controlBootId != response.getControlBoot()) {
      heard.clear();
    }
    controlBootId = response.getControlBoot();
    lastUpstreamChange = response.getUpstreamChange();
    answered = true;
    lastResponseNanos = nowNanos;
    if (response.getControlVms() == 0 || response.getControlVms() != controlVms) {
      controlVms = response.getControlVms();
      namedVoters =
          new NamedVoters(
              response.getVotersIndex(), Set.copyOf(response.getControlAddressesList()));
    }
    if (response.getStateCurrent()) {
      stateCurrent = true;
    }
    heard.add(response, answeredNanos(response, calledNanos, nowNanos));
    return recordGateways(response);
  }

  /**
   * Returns a time that a response was not sent before. A gateway may read it late, after a time in
   * which it did not run. A VM of an earlier build does not say for how long it held the call.
   */
  private static long answeredNanos(WatchAnswer response, long calledNanos, long nowNanos) {
    boolean namesHeldTime = response.getControlVms() != 0;
    return namesHeldTime
        ? calledNanos + Duration.ofMillis(response.getHeldMillis()).toNanos()
        : nowNanos;
  }

  private boolean recordGateways(WatchAnswer response) {
    lastGatewayChange = response.getGatewayChange();
    boolean whole = response.getGatewaysWhole() || lastGatewayChange == 0;
    if (!whole && response.getGatewaysCount() + response.getRemovedGatewaysCount() == 0) {
      return false;
    }
    Map<String, GatewayRecord> before = Map.copyOf(gateways);
    if (whole) {
      gateways.clear();
    }
    response.getRemovedGatewaysList().forEach(gateways::remove);
    for (GatewayData data : response.getGatewaysList()) {
      gateways.put(data.getVm(), FleetCodec.gateway(data));
    }
    return !gateways.equals(before);
  }

  /** Returns the live gateways that this control VM has told. */
  synchronized List<GatewayRecord> gateways() {
    return List.copyOf(gateways.values());
  }

  /** Returns what this control VM has heard of upstreams. */
  HeardUpstreams heard() {
    return heard;
  }
}
