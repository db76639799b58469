package org.cuminrack.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.generated.fleet.LateUpstreamData;
import org.cuminrack.generated.fleet.UpstreamData;
import org.cuminrack.generated.fleet.WatchAnswer;

/**
 * When one control VM has heard of the upstreams that it told a gateway. The control VM names an
 * upstream again only if its announcement is late or no longer late. Thread-safe.
 */
final class HeardUpstreams {
  private final Map<String, Told> toldById = new HashMap<>();
  private long recentAtNanos;
  private boolean everRecent;

  /**
   * Adds an answer.
   *
   * @param answeredNanos a time that the answer was not sent before
   */
  synchronized void add(WatchAnswer answer, long answeredNanos) {
    for (UpstreamData data : answer.getUpstreamsList()) {
      UpstreamRecord upstream = FleetCodec.upstream(data, answeredNanos);
      if (upstream.phase() == UpstreamPhase.LEFT) {
        toldById.remove(upstream.id());
      } else {
        toldById.put(
            upstream.id(),
            new Told(upstream.startedMillis(), upstream.receivedNanos(), answeredNanos, false));
      }
    }
    for (LateUpstreamData data : answer.getLateUpstreamsList()) {
      long receivedNanos = answeredNanos - Duration.ofMillis(data.getAgeMillis()).toNanos();
      toldById.put(
          data.getId(), new Told(data.getBornMillis(), receivedNanos, answeredNanos, true));
    }
    if (answer.getHeardRecently() && (!everRecent || answeredNanos - recentAtNanos > 0)) {
      everRecent = true;
      recentAtNanos = answeredNanos;
    }
  }

  /** Forgets everything, because the control VM was started again. */
  synchronized void clear() {
    toldById.clear();
    everRecent = false;
  }

  /** Returns what this control VM says of an upstream; empty if it has not told it. */
  synchronized Optional<HeardUpstream> find(UpstreamRecord upstream) {
    Told told = toldById.get(upstream.id());
    if (told == null || told.startedMillis != upstream.startedMillis()) {
      return Optional.empty();
    }
    HeardUpstream announced =
        new HeardUpstream(told.late, told.statedNanos, told.receivedNanos, told.receivedNanos);
    boolean renewed = !told.late && everRecent && recentAtNanos - told.statedNanos > 0;
    return Optional.of(renewed ? announced.renewed(recentAtNanos) : announced);
  }

  private record Told(long startedMillis, long receivedNanos, long statedNanos, boolean late) {}
}
