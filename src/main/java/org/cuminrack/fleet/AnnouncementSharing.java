package org.cuminrack.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cuminrack.generated.fleet.ShareCall;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;

/** Sends upstreams' announcements from one control VM to the others. */
final class AnnouncementSharing {
  /** Shorter than the 1 s that upstreams wait for the acknowledgement of an announcement. */
  private static final Duration SHARE_TIMEOUT = Duration.ofMillis(700);

  private final WireClient wire;
  private final Supplier<Set<String>> voterAddresses;
  private final String ownAddress;
  private final Clock clock;
  private long lastSharedChange;

  AnnouncementSharing(
      WireClient wire, Supplier<Set<String>> voterAddresses, String ownAddress, Clock clock) {
    this.wire = wire;
    this.voterAddresses = voterAddresses;
    this.ownAddress = ownAddress;
    this.clock = clock;
  }

  /**
   * Shares an announcement; completes with true once another control VM has it, or if there is
   * none.
   */
  CompletableFuture<Boolean> shareAndAwaitOneOther(UpstreamRecord announced) {
    Set<String> otherVoters = otherVoters();
    if (otherVoters.isEmpty()) {
      return CompletableFuture.completedFuture(true);
    }
    CompletableFuture<Boolean> shared = new CompletableFuture<>();
    byte[] payload = shareCall(List.of(announced));
    List<CompletableFuture<?>> calls = new ArrayList<>();
    for (String address : otherVoters) {
      calls.add(
          wire.call(address, Method.SHARE_UPSTREAMS, payload, SHARE_TIMEOUT)
              .thenAccept(
                  outcome -> {
                    if (outcome.isRight()) {
                      shared.complete(true);
                    }
                  }));
    }
    CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
        .whenComplete((done, failure) -> shared.complete(false));
    return shared;
  }

  private Set<String> otherVoters() {
    Set<String> otherVoters = new TreeSet<>(voterAddresses.get());
    otherVoters.remove(ownAddress);
    return otherVoters;
  }

  private byte[] shareCall(List<UpstreamRecord> records) {
    long nowNanos = clock.nanoTime();
    ShareCall.Builder call = ShareCall.newBuilder();
    records.forEach(upstream -> call.addUpstreams(FleetCodec.data(upstream, nowNanos)));
    return call.build().toByteArray();
  }

  /** Shares the announcements that were merged since the last time. */
  void shareChanged(UpstreamTable upstreams) {
    long change = upstreams.lastChange();
    List<UpstreamRecord> changed = upstreams.changedAfter(lastSharedChange);
    lastSharedChange = change;
    if (changed.isEmpty()) {
      return;
    }
    byte[] payload = shareCall(changed);
    otherVoters()
        .forEach(address -> wire.call(address, Method.SHARE_UPSTREAMS, payload, SHARE_TIMEOUT));
  }
}
