package org.cuminrack.pool;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cuminrack.admission.Priority;

/**
 * Distributions of the output lengths of one pool by organisation and priority. Bounded: the least
 * recently used ones are evicted.
 */
final class LengthPredictor {
  private static final int MAX_FLOWS = 512;
  private static final int MIN_SAMPLES = 24;

  private final Map<FlowKey, LengthHistogram> byFlow =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<FlowKey, LengthHistogram> eldest) {
          return size() > MAX_FLOWS;
        }
      };
  private final Map<Priority, LengthHistogram> byPriority = new EnumMap<>(Priority.class);

  LengthPredictor() {
    for (Priority each : Priority.values()) {
      byPriority.put(each, new LengthHistogram());
    }
  }

  /** Records the length of a completed output. */
  void completed(FlowKey flow, int outputTokens) {
    byFlow.computeIfAbsent(flow, each -> new LengthHistogram()).add(outputTokens);
    byPriority.get(flow.priority()).add(outputTokens);
  }

  /**
   * Returns the distribution of a flow, or that of all flows with its priority if it has too few
   * samples.
   */
  LengthHistogram distribution(FlowKey flow) {
    LengthHistogram ownDistribution = byFlow.get(flow);
    boolean hasEnoughSamples =
        ownDistribution != null && ownDistribution.sampleCount() >= MIN_SAMPLES;
    return hasEnoughSamples ? ownDistribution : byPriority.get(flow.priority());
  }

  /** Adds samples that another owner collected. */
  void merge(FlowKey flow, double[] counts) {
    byFlow.computeIfAbsent(flow, each -> new LengthHistogram()).merge(counts);
    byPriority.get(flow.priority()).merge(counts);
  }

  /** Returns the samples by organisation and priority, for the next owner. */
  Map<FlowKey, double[]> samples() {
    Map<FlowKey, double[]> samples = new LinkedHashMap<>();
    byFlow.forEach((flow, histogram) -> samples.put(flow, histogram.counts()));
    return samples;
  }
}
