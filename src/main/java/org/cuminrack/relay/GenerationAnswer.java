package org.cuminrack.relay;

import org.cuminrack.http.Json;
import org.cuminrack.http.ProblemDocument;

/** What the caller of a generation gets: tokens with their ids, then an end. */
final class GenerationAnswer {
  private final RelayContext context;
  private final CallerRequest caller;
  private final GenerationRequest request;
  private final CallerStream stream;
  private EventIds.Writer ids;
  private int tokens;
  private int lastIndex = -1;

  GenerationAnswer(
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

  /** Returns how many tokens this exchange has brought. */
  int tokens() {
    return tokens;
  }

  /** Notes what the caller has read before it came back. */
  void goesOnAfter(int index) {
    lastIndex = index;
  }

  /** Returns the index of the last token that the caller was given; -1 for none. */
  int lastIndex() {
    return lastIndex;
  }

  /** Adds a token. */
  void token(EngineStream engine, TokenData token, byte[] data) {
    if (ids == null) {
      ids =
          context
              .eventIds()
              .writer(
                  request.organisation(),
                  engine.target(),
                  engine.generation(),
                  request.fingerprint());
    }
    tokens++;
    lastIndex = token.index();
    context.counters().add(RelayCounters.TOKENS);
    stream.event(ids.write(token), data);
  }

  /** Ends with a problem: in the stream where a token is in it, else as the answer itself. */
  void end(ProblemDocument problem) {
    if (tokens > 0) {
      context.counters().add(RelayCounters.REFUSALS);
      stream.endWithError(Json.bytes(problem));
    } else {
      caller.answer(context, problem);
    }
  }
}
