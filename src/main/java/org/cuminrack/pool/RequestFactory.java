package org.cuminrack.pool;

import java.util.List;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Priority;

/** Creates queued requests with their predicted cost. */
final class RequestFactory {
  /** Cap on the predicted output of a request without a limit on output tokens. */
  private static final double PREDICTED_OUTPUT_CAP_TOKENS = 65_536;

  private final PoolContext context;

  RequestFactory(PoolContext context) {
    this.context = context;
  }

  /**
   * Returns the request with its predicted cost; records interactive ones, for which headroom is
   * then reserved.
   */
  QueuedRequest create(long requestId, AdmissionRequest request, long nowNanos) {
    if (request.priority() == Priority.INTERACTIVE) {
      context.recordInteractiveRequest();
    }
    FlowKey flow = new FlowKey(request.organisation(), request.priority());
    LengthHistogram lengths = context.lengths().distribution(flow);
    int promptTokens = request.promptTokens();
    Sequence sequence = new Sequence(lengths, promptTokens, 0, request.maxOutputTokens());
    // A plain call has no prompt and costs 1.
    double costTokens =
        promptTokens == 0 ? 1 : promptTokens + predictedOutputTokens(lengths, request);
    List<Long> prefix = PrefixSample.of(request.prefixHashes(), promptTokens);
    return new QueuedRequest(requestId, request, nowNanos, costTokens, sequence, prefix);
  }

  private static double predictedOutputTokens(LengthHistogram lengths, AdmissionRequest request) {
    int maxTokens = request.maxOutputTokens();
    return lengths.meanUpTo(maxTokens > 0 ? maxTokens : PREDICTED_OUTPUT_CAP_TOKENS);
  }
}
