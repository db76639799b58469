package org.cuminrack.pool;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cuminrack.admission.Priority;

/** Distributions of output lengths of one service by organisation and priority; bounded. */
final class LengthPredictor {
  private static final int MAX_ORGANISATIONS = 512;
  private static final int ENOUGH_SAMPLES = 24;

  private final Map<FlowKey, LengthHistogram> byKey =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<FlowKey, LengthHistogram> eldest) {
          return size() > MAX_ORGANISATIONS;
        }
      };
  private final Map<Priority, LengthHistogram> byPriority = new EnumMap<>(Priority.class);

  LengthPredictor() {
    for (Priority each : Priority.values()) {
      byPriority.put(each, new LengthHistogram());
    }
  }

  /** Learns the length of an output that ran to its end. */
  void completed(FlowKey key, int outputTokens) {
    byKey.computeIfAbsent(key, each -> new LengthHistogram()).add(outputTokens);
    byPriority.get(key.priority()).add(outputTokens);
  }

  /** Returns the organisation's distribution, or everybody's while it has sent too little. */
  LengthHistogram distribution(FlowKey key) {
    LengthHistogram own = byKey.get(key);
    boolean known = own != null && own.samples() >= ENOUGH_SAMPLES;
    return known ? own : byPriority.get(key.priority());
  }

  /** Takes over samples that another owner collected. */
  void merge(FlowKey key, double[] counts) {
    byKey.computeIfAbsent(key, each -> new LengthHistogram()).merge(counts);
    byPriority.get(key.priority()).merge(counts);
  }

  /** Returns the samples by organisation and priority, for the next owner. */
  Map<FlowKey, double[]> samples() {
    Map<FlowKey, double[]> samples = new LinkedHashMap<>();
    byKey.forEach((key, histogram) -> samples.put(key, histogram.counts()));
    return samples;
  }
}
