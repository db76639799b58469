package org.cuminrack.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cuminrack.generated.fleet.ShareCall;
import org.cuminrack.quorum.LossTolerance;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;

/** Sends upstreams' announcements from one control VM to the others. */
final class AnnouncementSharing {
  /** Shorter than the 1 s that upstreams wait for the acknowledgement of an announcement. */
  private static final Duration SHARE_TIMEOUT = Duration.ofMillis(700);

  private final WireClient wire;
  private final Supplier<ControlVms> controlVms;
  private final LossTolerance tolerance;
  private final Clock clock;
  private long lastSharedChange;

  AnnouncementSharing(
      WireClient wire, Supplier<ControlVms> controlVms, LossTolerance tolerance, Clock clock) {
    this.wire = wire;
    this.controlVms = controlVms;
    this.tolerance = tolerance;
    this.clock = clock;
  }

  /** Shares an announcement; completes with true once so many voters have it that it survives. */
  CompletableFuture<Boolean> shareAndAwaitCopies(UpstreamRecord announced) {
    ControlVms vms = controlVms.get();
    AnnouncementCopies copies = new AnnouncementCopies(vms, tolerance);
    if (copies.areEnough()) {
      return CompletableFuture.completedFuture(true);
    }
    CompletableFuture<Boolean> shared = new CompletableFuture<>();
    byte[] payload = shareCall(List.of(announced));
    List<CompletableFuture<?>> calls = new ArrayList<>();
    for (String address : vms.otherVoters()) {
      calls.add(
          wire.call(address, Method.SHARE_UPSTREAMS, payload, SHARE_TIMEOUT)
              .thenAccept(
                  outcome -> {
                    if (outcome.isRight()) {
                      copies.add(address);
                    }
                    if (copies.areEnough()) {
                      shared.complete(true);
                    }
                  }));
    }
    CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
        .whenComplete((done, failure) -> shared.complete(false));
    return shared;
  }

  private byte[] shareCall(List<UpstreamRecord> records) {
    long nowNanos = clock.nanoTime();
    ShareCall.Builder call = ShareCall.newBuilder();
    records.forEach(upstream -> call.addUpstreams(FleetCodec.data(upstream, nowNanos)));
    return call.build().toByteArray();
  }

  /** Shares the announcements merged since the last time with all control VMs, also learners. */
  void shareChanged(UpstreamTable upstreams) {
    long change = upstreams.lastChange();
    List<UpstreamRecord> changed = upstreams.changedAfter(lastSharedChange);
    lastSharedChange = change;
    if (changed.isEmpty()) {
      return;
    }
    byte[] payload = shareCall(changed);
    controlVms
        .get()
        .others()
        .forEach(address -> wire.call(address, Method.SHARE_UPSTREAMS, payload, SHARE_TIMEOUT));
  }
}
