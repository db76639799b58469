package org.cuminrack.standin;

/**
 * The faults that a stand-in injects; zero, false or an absent value disables a fault. A new
 * behaviour replaces the old one completely.
 *
 * @param crash terminates the process immediately
 * @param hang runs no step and answers no request
 * @param silent keeps working, but sends no more bytes, not even on open connections
 * @param cold resets the engine to its cold state, once
 * @param warm makes the engine warm, once
 * @param loseGenerations loses all generations, once
 * @param refuse answers new requests with 503
 * @param crossed answers with the id of a different request
 * @param muteReports sends no load reports and cache events
 * @param dropAnswers executes the request, then closes the connection without a response
 * @param slowFactor multiplies the processing time; 0 means 1
 * @param lateMillis delay before a response is sent
 * @param duplicateEvery sends every n-th token event twice; 0 disables it
 * @param gapEvery omits every n-th token event of a generation's first stream; 0 disables it
 * @param dropAfterTokens closes a stream after this many token events; 0 disables it
 */
public record Behaviour(
    Boolean crash,
    Boolean hang,
    Boolean silent,
    Boolean cold,
    Boolean warm,
    Boolean loseGenerations,
    Boolean refuse,
    Boolean crossed,
    Boolean muteReports,
    Boolean dropAnswers,
    Double slowFactor,
    Integer lateMillis,
    Integer duplicateEvery,
    Integer gapEvery,
    Integer dropAfterTokens) {
  private static final Behaviour NORMAL =
      new Behaviour(
          null, null, null, null, null, null, null, null, null, null, null, null, null, null, null);

  /** Replaces absent values with those of the normal behaviour. */
  public Behaviour {
    crash = orFalse(crash);
    hang = orFalse(hang);
    silent = orFalse(silent);
    cold = orFalse(cold);
    warm = orFalse(warm);
    loseGenerations = orFalse(loseGenerations);
    refuse = orFalse(refuse);
    crossed = orFalse(crossed);
    muteReports = orFalse(muteReports);
    dropAnswers = orFalse(dropAnswers);
    slowFactor = slowFactor == null ? 0.0 : slowFactor;
    lateMillis = orZero(lateMillis);
    duplicateEvery = orZero(duplicateEvery);
    gapEvery = orZero(gapEvery);
    dropAfterTokens = orZero(dropAfterTokens);
  }

  /** Returns the behaviour without faults. */
  public static Behaviour normal() {
    return NORMAL;
  }

  /** Returns the factor by which processing times are multiplied. */
  public double slowdown() {
    return slowFactor > 0 ? slowFactor : 1;
  }

  private static Boolean orFalse(Boolean value) {
    return value != null && value;
  }

  private static Integer orZero(Integer value) {
    return value == null ? 0 : value;
  }
}
