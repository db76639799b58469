package org.cuminrack.pool;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the least loaded upstream whose concurrency limit and predicted memory use allow the
 * request. Prefers an upstream that caches the prompt's prefix unless its load is much higher.
 */
final class PredictivePlacement implements PlacementPolicy {
  private static final double MAX_AFFINITY_BONUS = 0.3;
  private static final int MAX_MEMORY_CHECKS = 4;

  @Override
  public Optional<UpstreamState> place(
      QueuedRequest request, List<UpstreamState> candidates, PoolContext context) {
    double[] loads = new double[candidates.size()];
    for (int i = 0; i < loads.length; i++) {
      loads[i] = loadOrInfinity(request, candidates.get(i), context);
    }
    preferUpstreamsWithPrefix(request, candidates, loads, context);
    return firstThatFits(request, candidates, loads, context);
  }

  private static double loadOrInfinity(
      QueuedRequest request, UpstreamState upstream, PoolContext context) {
    boolean hasPlace = context.hasPlace(request, upstream);
    return hasPlace ? context.load(upstream, request) : Double.POSITIVE_INFINITY;
  }

  private static void preferUpstreamsWithPrefix(
      QueuedRequest request, List<UpstreamState> candidates, double[] loads, PoolContext context) {
    List<Long> hashes = request.prefix();
    if (!context.uses(Mechanism.PREFIX_AFFINITY) || hashes.isEmpty()) {
      return;
    }
    PrefixMatch match = context.prefixes().longestPrefix(hashes, slotsWithPlace(candidates, loads));
    double coveredShare =
        (double) PrefixSample.tokensOf(match.length()) / request.request().promptTokens();
    for (int i = 0; i < loads.length; i++) {
      if ((match.slots() & slotBit(candidates.get(i))) != 0) {
        loads[i] -= MAX_AFFINITY_BONUS * coveredShare;
      }
    }
  }

  private static long slotsWithPlace(List<UpstreamState> candidates, double[] loads) {
    long slots = 0;
    for (int i = 0; i < loads.length; i++) {
      slots |= Double.isInfinite(loads[i]) ? 0 : slotBit(candidates.get(i));
    }
    return slots;
  }

  private static long slotBit(UpstreamState upstream) {
    return 1L << upstream.slot();
  }

  private static Optional<UpstreamState> firstThatFits(
      QueuedRequest request, List<UpstreamState> candidates, double[] loads, PoolContext context) {
    for (int checks = 0; checks < MAX_MEMORY_CHECKS; checks++) {
      int lowest = indexOfLowest(loads);
      if (lowest < 0) {
        return Optional.empty();
      }
      if (context.fits(request, candidates.get(lowest))) {
        return Optional.of(candidates.get(lowest));
      }
      loads[lowest] = Double.POSITIVE_INFINITY;
    }
    return Optional.empty();
  }

  private static int indexOfLowest(double[] loads) {
    int lowest = -1;
    for (int i = 0; i < loads.length; i++) {
      boolean finite = !Double.isInfinite(loads[i]);
      if (finite && (lowest < 0 || loads[i] < loads[lowest])) {
        lowest = i;
      }
    }
    return lowest;
  }
}
