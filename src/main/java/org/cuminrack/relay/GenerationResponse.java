package org.cuminrack.relay;

import org.cuminrack.http.Json;
import org.cuminrack.http.ProblemDocument;

/**
 * The response to the caller of a generation: tokens with event IDs, then an end marker or a
 * problem.
 */
final class GenerationResponse {
  private final RelayContext context;
  private final CallerRequest caller;
  private final GenerationRequest request;
  private final CallerStream stream;
  private EventIds.Encoder eventIdEncoder;
  private int tokenCount;
  private int lastIndex = -1;

  GenerationResponse(
      RelayContext context,
      CallerRequest caller,
      GenerationRequest request,
      CallerSink.Listener listener) {
    this.context = context;
    this.caller = caller;
    this.request = request;
    this.stream = new CallerStream(caller.exchange(), context.clock(), listener);
  }

  CallerStream stream() {
    return stream;
  }

  /** Returns the number of tokens relayed by this exchange. */
  int tokenCount() {
    return tokenCount;
  }

  /** Sets the index of the last token that a resuming caller has read. */
  void resumeAfter(int index) {
    lastIndex = index;
  }

  /**
   * Returns the index of the last token relayed to the caller or read by it before it resumed; -1
   * if there is none.
   */
  int lastIndex() {
    return lastIndex;
  }

  /** Buffers a token until the stream is flushed. */
  void addToken(EngineStream engineStream, TokenEvent token, byte[] data) {
    if (eventIdEncoder == null) {
      eventIdEncoder =
          context
              .eventIds()
              .encoder(
                  request.organisation(),
                  engineStream.target(),
                  engineStream.generationId(),
                  request.fingerprint());
    }
    tokenCount++;
    lastIndex = token.index();
    context.counters().add(RelayCounters.TOKENS);
    stream.appendEvent(eventIdEncoder.encode(token), data);
  }

  /** Sends a problem: as an event if the stream has started, otherwise as the whole response. */
  void endWithProblem(ProblemDocument problem) {
    if (tokenCount > 0) {
      context.counters().add(RelayCounters.REFUSALS);
      stream.endWithError(Json.bytes(problem));
    } else {
      caller.sendProblem(context, problem);
    }
  }
}
