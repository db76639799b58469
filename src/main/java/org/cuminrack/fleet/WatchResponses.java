package org.cuminrack.fleet;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cuminrack.control.ControlState;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.RoutingData;
import org.cuminrack.generated.control.SuspectUpdate;
import org.cuminrack.generated.fleet.UpstreamData;
import org.cuminrack.generated.fleet.WatchAnswer;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.time.Clock;

/**
 * Builds a control VM's responses to the watch calls of gateways. A response names what changed;
 * renewed announcements are no change. Thread-safe.
 */
final class WatchResponses {
  /** Limits of one answer, so that a VM that has started again does not resend all at once. */
  private static final int MAX_CHANGED = 128;

  private static final int MAX_LATE = 1024;

  private final long bootId;
  private final ControlState state;
  private final BooleanSupplier stateIsCurrent;
  private final UpstreamTable upstreams;
  private final AnnouncementWatch announcements;
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
      AnnouncementWatch announcements,
      GatewayTable gateways,
      Supplier<ControlVms> controlVms,
      Clock clock) {
    this.bootId = bootId;
    this.state = state;
    this.stateIsCurrent = stateIsCurrent;
    this.upstreams = upstreams;
    this.announcements = announcements;
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

  /** Returns whether upstreams changed after the call in a way that callers may wait for. */
  boolean hasUrgentChangeFor(WatchCall call) {
    return upstreams.lastUrgentChange() > call.getUpstreamChange();
  }

  /** Returns whether one answer is not enough for all changes of upstreams after the call. */
  boolean needsFurtherAnswers(WatchCall call) {
    return !upstreams.toTellAfter(lastUpstreamChange(call), MAX_CHANGED, MAX_LATE).complete();
  }

  /**
   * Returns what changed after what the call names.
   *
   * @param receivedNanos when the call was received
   */
  byte[] build(WatchCall call, long receivedNanos) {
    long nowNanos = clock.nanoTime();
    WatchAnswer.Builder response = WatchAnswer.newBuilder().setControlBoot(bootId);
    if (call.getChangesOnly()) {
      addChanges(response, call, nowNanos);
      response.setHeldMillis((int) TimeUnit.NANOSECONDS.toMillis(nowNanos - receivedNanos));
    } else {
      addTables(response, call, nowNanos);
    }
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

  private void addChanges(WatchAnswer.Builder response, WatchCall call, long nowNanos) {
    UpstreamChanges changes =
        upstreams.toTellAfter(lastUpstreamChange(call), MAX_CHANGED, MAX_LATE);
    response.setUpstreamChange(changes.change());
    changes.changed().forEach(upstream -> response.addUpstreams(data(upstream, nowNanos)));
    changes.late().forEach(late -> response.addLateUpstreams(FleetCodec.late(late, nowNanos)));
    response.setHeardRecently(announcements.hasHeardRecently(changes, nowNanos));
    GatewayChanges gatewayChanges =
        gateways.changesAfter(isOfThisBoot(call) ? call.getGatewayChange() : 0, nowNanos);
    response
        .setGatewayChange(gatewayChanges.change())
        .setGatewaysWhole(gatewayChanges.whole())
        .addAllRemovedGateways(gatewayChanges.removed());
    gatewayChanges.changed().forEach(gateway -> response.addGateways(FleetCodec.data(gateway)));
    ControlVms vms = controlVms.get();
    response.setControlVms(vms.fingerprint());
    if (vms.fingerprint() != call.getControlVms()) {
      addControlVms(response, vms);
    }
  }

  /** Adds everything that a gateway needs which does not keep what earlier answers have told. */
  private void addTables(WatchAnswer.Builder response, WatchCall call, long nowNanos) {
    response.setUpstreamChange(upstreams.lastChange());
    upstreams
        .changedAfter(lastUpstreamChange(call))
        .forEach(upstream -> response.addUpstreams(data(upstream, nowNanos)));
    gateways.live(nowNanos).forEach(gateway -> response.addGateways(FleetCodec.data(gateway)));
    addControlVms(response, controlVms.get());
  }

  private static UpstreamData data(UpstreamRecord upstream, long nowNanos) {
    return FleetCodec.data(upstream, nowNanos);
  }

  private static void addControlVms(WatchAnswer.Builder response, ControlVms vms) {
    response.setVotersIndex(vms.votersIndex()).addAllControlAddresses(vms.voters());
    response.addAllOtherControlAddresses(vms.learners());
  }

  private long lastUpstreamChange(WatchCall call) {
    return isOfThisBoot(call) ? call.getUpstreamChange() : 0;
  }

  private boolean isOfThisBoot(WatchCall call) {
    return call.getControlBoot() == bootId;
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
