package org.cuminrack.standin;

/**
 * How a stand-in misbehaves; all zero or false is well-behaved. A new one replaces the old one
 * whole.
 *
 * @param crash ends the process at once
 * @param hang makes no step and answers nothing
 * @param silent goes on working, but sends no byte any more, also on open connections
 * @param cold makes the engine as cold as after its start, once
 * @param warm makes the engine warm, once
 * @param loseGenerations forgets every generation, once
 * @param refuse answers 503 to new work
 * @param crossed answers carry another request's id
 * @param muteReports sends no load reports and cache events
 * @param dropAnswers does the work, then closes the connection without an answer
 * @param slowFactor how many times longer the work takes; 0 for 1
 * @param lateMillis how long an answer is held back
 * @param duplicateEvery sends every n-th token event twice; 0 for none
 * @param gapEvery leaves out every n-th token event of a first stream; 0 for none
 * @param dropAfterTokens closes a stream after so many token events; 0 for never
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
  private static final Behaviour GOOD =
      new Behaviour(
          null, null, null, null, null, null, null, null, null, null, null, null, null, null, null);

  /** Whatever is not given is as in a well-behaved stand-in. */
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

  /** Nothing out of the ordinary. */
  public static Behaviour good() {
    return GOOD;
  }

  /** Returns the factor that work times are multiplied by. */
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
