package org.cuminrack.pool;

import java.util.List;
import java.util.Optional;

/**
 * The upstream with the lowest load, of places or predicted memory, that the request fits on; or
 * one that holds the prompt's prefix while it isn't loaded much more.
 */
final class PredictivePlacement implements PlacementPolicy {
  private static final double AFFINITY_SLACK = 0.3;
  private static final int MAX_TRIES = 4;

  @Override
  public Optional<UpstreamState> place(
      QueuedRequest request, List<UpstreamState> candidates, PoolContext context) {
    double[] loads = new double[candidates.size()];
    for (int i = 0; i < loads.length; i++) {
      loads[i] = loadOrFull(request, candidates.get(i), context);
    }
    favourPrefixHolders(request, candidates, loads, context);
    return firstThatFits(request, candidates, loads, context);
  }

  private static double loadOrFull(
      QueuedRequest request, UpstreamState upstream, PoolContext context) {
    boolean hasPlace = context.hasPlace(request, upstream);
    return hasPlace ? context.load(upstream, request) : Double.POSITIVE_INFINITY;
  }

  private static void favourPrefixHolders(
      QueuedRequest request, List<UpstreamState> candidates, double[] loads, PoolContext context) {
    List<Long> hashes = request.prefix();
    if (!context.uses(Mechanism.PREFIX_AFFINITY) || hashes.isEmpty()) {
      return;
    }
    PrefixMatch match = context.prefixes().longest(hashes, slotsWithPlace(candidates, loads));
    double share =
        (double) PrefixSample.tokensOf(match.places()) / request.request().promptTokens();
    for (int i = 0; i < loads.length; i++) {
      if ((match.slots() & slotBit(candidates.get(i))) != 0) {
        loads[i] -= AFFINITY_SLACK * share;
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
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      int least = indexOfLeast(loads);
      if (least < 0) {
        return Optional.empty();
      }
      if (context.fits(request, candidates.get(least))) {
        return Optional.of(candidates.get(least));
      }
      loads[least] = Double.POSITIVE_INFINITY;
    }
    return Optional.empty();
  }

  private static int indexOfLeast(double[] loads) {
    int least = -1;
    for (int i = 0; i < loads.length; i++) {
      boolean finite = !Double.isInfinite(loads[i]);
      if (finite && (least < 0 || loads[i] < loads[least])) {
        least = i;
      }
    }
    return least;
  }
}
