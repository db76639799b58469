package org.cuminrack.fleet;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cuminrack.control.ControlState;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.RoutingData;
import org.cuminrack.generated.control.SuspectUpdate;
import org.cuminrack.generated.fleet.WatchAnswer;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.time.Clock;

/** Builds a control VM's responses to the watch calls of gateways. Thread-safe. */
final class WatchResponses {
  private final long bootId;
  private final ControlState state;
  private final BooleanSupplier stateIsCurrent;
  private final UpstreamTable upstreams;
  private final GatewayTable gateways;
  private final Supplier<ControlVms> controlVms;
  private final Clock clock;

  /**
   * Creates a builder.
   *
   * @param bootId identifies this run of the control process
   * @param stateIsCurrent whether the replicated state has caught up with the leader's term
   */
  WatchResponses(
      long bootId,
      ControlState state,
      BooleanSupplier stateIsCurrent,
      UpstreamTable upstreams,
      GatewayTable gateways,
      Supplier<ControlVms> controlVms,
      Clock clock) {
    this.bootId = bootId;
    this.state = state;
    this.stateIsCurrent = stateIsCurrent;
    this.upstreams = upstreams;
    this.gateways = gateways;
    this.controlVms = controlVms;
    this.clock = clock;
  }

  /**
   * Returns whether this VM's state is current and the gateway does not know its routing yet, or
   * does not know that it is current. A gateway waits for a quorum of control VMs to report a
   * current state before it serves.
   */
  boolean hasNewStateFor(WatchCall call) {
    return stateIsCurrent.getAsBoolean() && (hasNewerRouting(call) || !call.getKnownCurrent());
  }

  private boolean hasNewerRouting(WatchCall call) {
    return state.routing().getRevision() > call.getRoutingRevision();
  }

  /** Returns whether this VM's state is current and suspects changed after the call's revision. */
  boolean hasNewerSuspects(WatchCall call) {
    return stateIsCurrent.getAsBoolean() && state.suspectsRevision() > call.getSuspectsRevision();
  }

  /** Returns everything that changed after what the call names. */
  byte[] build(WatchCall call) {
    long nowNanos = clock.nanoTime();
    long lastSeenChange = call.getControlBoot() == bootId ? call.getUpstreamChange() : 0;
    WatchAnswer.Builder response =
        WatchAnswer.newBuilder().setControlBoot(bootId).setUpstreamChange(upstreams.lastChange());
    upstreams
        .changedAfter(lastSeenChange)
        .forEach(upstream -> response.addUpstreams(FleetCodec.data(upstream, nowNanos)));
    gateways.live(nowNanos).forEach(gateway -> response.addGateways(FleetCodec.data(gateway)));
    ControlVms vms = controlVms.get();
    response.setVotersIndex(vms.votersIndex()).addAllControlAddresses(vms.voters());
    response.addAllOtherControlAddresses(vms.learners());
    if (stateIsCurrent.getAsBoolean()) {
      response.setStateCurrent(true);
      RoutingData routing = state.routing();
      if (routing.getRevision() > call.getRoutingRevision()) {
        response.setRouting(routing);
      }
      if (hasNewerSuspects(call)) {
        response.setSuspects(suspectsAfter(call.getSuspectsRevision()));
      }
    }
    return response.build().toByteArray();
  }

  private SuspectUpdate suspectsAfter(long revision) {
    FetchReply changes = state.changesAfter(revision);
    return SuspectUpdate.newBuilder()
        .setBaseRevision(changes.getBaseRevision())
        .setRevision(changes.getRevision())
        .setWhole(changes.getWhole())
        .addAllSuspects(changes.getSuspectsList())
        .build();
  }
}
