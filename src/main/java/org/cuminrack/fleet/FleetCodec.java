package org.cuminrack.fleet;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.cuminrack.generated.fleet.GatewayData;
import org.cuminrack.generated.fleet.GatewaySizeData;
import org.cuminrack.generated.fleet.LateUpstreamData;
import org.cuminrack.generated.fleet.UpstreamData;
import org.cuminrack.generated.fleet.UpstreamPhaseData;
import org.cuminrack.generated.fleet.WatchCall;

/**
 * Converts between the records of this package and the messages of fleet.proto. Monotonic times are
 * sent as ages and remaining times, since processes share no monotonic clock.
 */
final class FleetCodec {

  private FleetCodec() {}

  static UpstreamData data(UpstreamRecord upstream, long nowNanos) {
    return UpstreamData.newBuilder()
        .setId(upstream.id())
        .setService(upstream.service())
        .setAddress(upstream.address())
        .setDataCentre(upstream.dataCentre())
        .setSlots(upstream.slots())
        .setPhase(
            switch (upstream.phase()) {
              case READY -> UpstreamPhaseData.UPSTREAM_READY;
              case DRAINING -> UpstreamPhaseData.UPSTREAM_DRAINING;
              case LEFT -> UpstreamPhaseData.UPSTREAM_LEFT;
            })
        .setBornMillis(upstream.startedMillis())
        .setSequence(upstream.sequence())
        .setColdLeftMillis(toMillis(upstream.coldUntilNanos() - nowNanos))
        .setAgeMillis(toMillis(nowNanos - upstream.receivedNanos()))
        .setVersion(upstream.version())
        .build();
  }

  static UpstreamRecord upstream(UpstreamData data, long nowNanos) {
    return new UpstreamRecord(
        data.getId(),
        data.getService(),
        data.getAddress(),
        data.getDataCentre(),
        data.getSlots(),
        switch (data.getPhase()) {
          case UPSTREAM_READY -> UpstreamPhase.READY;
          case UPSTREAM_DRAINING -> UpstreamPhase.DRAINING;
          default -> UpstreamPhase.LEFT;
        },
        data.getBornMillis(),
        data.getSequence(),
        nowNanos + TimeUnit.MILLISECONDS.toNanos(data.getColdLeftMillis()),
        nowNanos - TimeUnit.MILLISECONDS.toNanos(data.getAgeMillis()),
        data.getVersion());
  }

  static LateUpstreamData late(UpstreamRecord upstream, long nowNanos) {
    return LateUpstreamData.newBuilder()
        .setId(upstream.id())
        .setBornMillis(upstream.startedMillis())
        .setAgeMillis(toMillis(nowNanos - upstream.receivedNanos()))
        .build();
  }

  static GatewayLoad load(WatchCall call) {
    GatewaySizeData size = call.getSize();
    return new GatewayLoad(
        call.hasSize()
            ? new GatewaySize(
                size.getCores(), size.getLinkMbps(), size.getMemoryMb(), size.getDescriptors())
            : GatewaySize.UNKNOWN,
        call.hasUse() ? OptionalDouble.of(call.getUse()) : OptionalDouble.empty());
  }

  static void addLoad(WatchCall.Builder call, GatewayLoad load) {
    GatewaySize size = load.size();
    if (size.isStated()) {
      call.setSize(
          GatewaySizeData.newBuilder()
              .setCores(size.cores())
              .setLinkMbps(size.linkMbps())
              .setMemoryMb(size.memoryMb())
              .setDescriptors(size.descriptors()));
    }
    load.use().ifPresent(use -> call.setUse((float) use));
  }

  static GatewayData data(GatewayRecord gateway) {
    return GatewayData.newBuilder()
        .setVm(gateway.vm())
        .setDataCentre(gateway.dataCentre())
        .setCallerAddress(gateway.callerAddress())
        .setWireAddress(gateway.wireAddress())
        .setServing(gateway.serving())
        .build();
  }

  static GatewayRecord gateway(GatewayData data) {
    return new GatewayRecord(
        data.getVm(),
        data.getDataCentre(),
        data.getCallerAddress(),
        data.getWireAddress(),
        data.getServing());
  }

  private static int toMillis(long nanos) {
    long millis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, nanos));
    return (int) Math.min(Integer.MAX_VALUE, millis);
  }
}
