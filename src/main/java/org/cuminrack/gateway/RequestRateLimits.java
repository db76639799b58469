package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/**
 * Keeps the rates of requests that upstreams name in their answers, over all gateways.
 *
 * <p>Gateways tell boards which limits they have observed and how many requests they have sent
 * within the limit's window, and learn the sums of the others. An upstream is chosen only while the
 * requests of all gateways within the window are fewer than the limit allows. Since a request of
 * another gateway is known only after the next answer of the board, several gateways could use the
 * same free place at once. So each request is sent to the upstream only with a probability, such
 * that all requests together make up the limit. A gateway whose requests are not known is assumed
 * to use an equal share.
 *
 * <p>The answer that was observed last decides, at whichever gateway.
 *
 * <p>Thread-safe: one lock.
 */
public final class RequestRateLimits {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time without an answer of a board after which other gateways' requests are not known. */
  private static final Duration REMOTE_TTL = Duration.ofSeconds(1);

  /** How long the end of a limit is told to other gateways. */
  private static final Duration ENDED_TTL = Duration.ofSeconds(10);

  /** Time without an answer or a message on a limit after which it is forgotten. */
  private static final Duration UNUSED_TTL = Duration.ofMinutes(10);

  /** Above 1, so that the limit can be used up in spite of the random choice. */
  private static final double CHOICE_FACTOR = 1.3;

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);
  private static final double MILLIS_PER_SECOND = 1e3;

  private final Supplier<Set<String>> otherGateways;
  private final Clock clock;
  private final RandomGenerator random;
  private final Map<Incarnation, RateLimit> limits = new HashMap<>();

  private final LastErrors invalidLimits = new LastErrors();
  private final Map<String, RemoteShares> remotes = new HashMap<>();

  /**
   * Creates an instance that knows no limits.
   *
   * @param otherGateways supplies the VMs of all other gateways that are alive
   */
  public RequestRateLimits(
      Supplier<Set<String>> otherGateways, Clock clock, RandomGenerator random) {
    this.otherGateways = otherGateways;
    this.clock = clock;
    this.random = random;
  }

  private record RemoteShares(
      Map<Incarnation, RateLimitShare> shares, int silentGateways, long receivedNanos) {}

  /**
   * Records what an answer of an upstream says of its limit: an answer that names none ends the one
   * before, unless it only refuses the request. An answer of another upstream has no effect.
   */
  synchronized void recordAnswer(UpstreamRecord upstream, ResponseHead head) {
    if (!head.matchesRequest() || head.misdirected()) {
      return;
    }
    if (head.requestsPerSecond().isLeft()) {
      recordInvalid(Incarnation.of(upstream), head.requestsPerSecond().getLeft());
      return;
    }
    OptionalDouble named = head.requestsPerSecond().get();
    boolean isSilent = named.isEmpty() && head.notExecuted();
    if (!isSilent) {
      update(Incarnation.of(upstream), named, clock.nanoTime(), true, "answer");
    }
  }

  private void recordInvalid(Incarnation upstream, String error) {
    if (invalidLimits.recordIfNew(upstream, error)) {
      logger.atWarning().log(
          "%s",
          LogEvent.named("upstream-limit-invalid")
              .with("upstream", upstream.id())
              .with("detail", error));
    }
  }

  private void update(
      Incarnation upstream,
      OptionalDouble requestsPerSecond,
      long statedNanos,
      boolean observedHere,
      String source) {
    RateLimit limit = limits.get(upstream);
    boolean isKnown = limit != null && limit.isInForce();
    if (requestsPerSecond.isEmpty() && !isKnown) {
      return;
    }
    OptionalDouble before = isKnown ? limit.requestsPerSecond() : OptionalDouble.empty();
    if (isKnown) {
      limit.update(requestsPerSecond, statedNanos, observedHere);
    } else {
      limits.put(
          upstream, new RateLimit(requestsPerSecond, statedNanos, observedHere, clock.nanoTime()));
    }
    if (!before.equals(requestsPerSecond)) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("upstream-limit")
              .with("upstream", upstream.id())
              .with(
                  "requests_per_second",
                  requestsPerSecond.isPresent() ? requestsPerSecond.getAsDouble() : "none")
              .with("source", source));
    }
  }

  /** Returns whether a limit of an upstream is in force. */
  synchronized boolean isLimited(UpstreamRecord upstream) {
    return inForce(Incarnation.of(upstream)).isPresent();
  }

  private Optional<RateLimit> inForce(Incarnation upstream) {
    return Optional.ofNullable(limits.get(upstream)).filter(RateLimit::isInForce);
  }

  /**
   * Decides whether a request may go to an upstream that is the best one for it; call once for each
   * such request.
   */
  synchronized boolean allows(UpstreamRecord upstream) {
    Incarnation key = Incarnation.of(upstream);
    Optional<RateLimit> limit = inForce(key);
    if (limit.isEmpty()) {
      return true;
    }
    long nowNanos = clock.nanoTime();
    limit.get().eligible.add(nowNanos);
    double rate =
        limit.get().rateOf(partOfGatewaysHeard(key, otherGateways.get().size(), nowNanos));
    Duration window = RateLimit.window(rate);
    int sent = limit.get().sent.count(window, nowNanos);
    int eligible = limit.get().eligible.count(window, nowNanos);
    Optional<RemoteShares> remote = remoteShares(key, nowNanos);
    if (remote.isPresent()) {
      RateLimitShare others = remote.get().shares.get(key);
      sent += others.sent();
      eligible += others.eligible();
    }
    if (sent >= limit.get().budget(rate, nowNanos)) {
      return false;
    }
    double probability = CHOICE_FACTOR * rate * window.toMillis() / MILLIS_PER_SECOND / eligible;
    return random.nextDouble() < probability;
  }

  /** Returns the part of all gateways, from 0 to 1, whose requests are known, this one included. */
  private double partOfGatewaysHeard(Incarnation upstream, int others, long nowNanos) {
    int silent =
        remoteShares(upstream, nowNanos)
            .map(remote -> Math.min(others, remote.silentGateways))
            .orElse(others);
    double gateways = others + 1;
    return (gateways - silent) / gateways;
  }

  private Optional<RemoteShares> remoteShares(Incarnation upstream, long nowNanos) {
    remotes.values().removeIf(remote -> nowNanos - remote.receivedNanos > REMOTE_TTL.toNanos());
    for (RemoteShares remote : remotes.values()) {
      if (remote.shares.containsKey(upstream)) {
        return Optional.of(remote);
      }
    }
    return Optional.empty();
  }

  /** Records that a request, a resumed one too, is sent to an upstream. */
  synchronized void recordSent(UpstreamRecord upstream) {
    inForce(Incarnation.of(upstream)).ifPresent(limit -> limit.sent.add(clock.nanoTime()));
  }

  /**
   * Returns after what time one of the upstreams takes another request; empty if one of them has no
   * limit.
   */
  synchronized Optional<Duration> retryAfter(Collection<UpstreamRecord> upstreams) {
    double rate = 0;
    for (UpstreamRecord upstream : upstreams) {
      Optional<RateLimit> limit = inForce(Incarnation.of(upstream));
      if (limit.isEmpty()) {
        return Optional.empty();
      }
      rate += limit.get().rateOf(1);
    }
    if (rate == 0) {
      return Optional.empty();
    }
    if (rate * MAX_RETRY_AFTER.toSeconds() <= 1) {
      return Optional.of(MAX_RETRY_AFTER);
    }
    Duration interval = Duration.ofMillis((long) (MILLIS_PER_SECOND / rate));
    return Optional.of(interval.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : interval);
  }

  /** Returns what the other gateways need to know; empty while no upstream has named a limit. */
  public synchronized List<RateLimitShare> ownShares() {
    if (limits.isEmpty()) {
      return List.of();
    }
    long nowNanos = clock.nanoTime();
    limits.values().removeIf(limit -> isForgotten(limit, nowNanos));
    int others = otherGateways.get().size();
    List<RateLimitShare> shares = new ArrayList<>();
    limits.forEach(
        (upstream, limit) -> {
          double part = partOfGatewaysHeard(upstream, others, nowNanos);
          Duration window = RateLimit.window(limit.rateOf(part));
          shares.add(
              new RateLimitShare(
                  upstream.id(),
                  upstream.startedMillis(),
                  limit.observation(nowNanos),
                  limit.sent.count(window, nowNanos),
                  limit.eligible.count(window, nowNanos)));
        });
    return shares;
  }

  private static boolean isForgotten(RateLimit limit, long nowNanos) {
    Duration ttl = limit.isInForce() ? UNUSED_TTL : ENDED_TTL;
    return nowNanos - limit.statedNanos() > ttl.toNanos();
  }

  /**
   * Replaces the sums of all other gateways at some upstreams, and learns the limits that these
   * have observed.
   *
   * @param source names who told it, the pool of the upstreams for example
   * @param silentGateways the number of other gateways whose requests the sums may lack
   */
  public synchronized void replaceRemote(
      String source, Collection<RateLimitShare> shares, int silentGateways) {
    if (shares.isEmpty() && !remotes.containsKey(source)) {
      return;
    }
    long nowNanos = clock.nanoTime();
    Map<Incarnation, RateLimitShare> byUpstream = new HashMap<>();
    for (RateLimitShare share : shares) {
      Incarnation upstream = new Incarnation(share.upstreamId(), share.startedMillis());
      byUpstream.put(upstream, share);
      share
          .observed()
          .ifPresent(
              observation -> {
                long statedNanos = nowNanos - observation.age().toNanos();
                RateLimit known = limits.get(upstream);
                if (known == null || statedNanos - known.statedNanos() > 0) {
                  update(upstream, observation.requestsPerSecond(), statedNanos, false, source);
                }
              });
    }
    remotes.put(source, new RemoteShares(byUpstream, silentGateways, nowNanos));
  }
}
