package org.cuminrack.relay;

/** Where a generation stands: each token is next, a duplicate, or shows that some are missing. */
final class TokenSequence {
  private static final int MAX_GAPS_AT_ONE_TOKEN = 3;

  private int lastIndex;
  private int gapsHere;

  private TokenSequence(int lastIndex) {
    this.lastIndex = lastIndex;
  }

  /** A sequence whose next token is the one after the given index; -1 for a new generation. */
  static TokenSequence after(int index) {
    return new TokenSequence(index);
  }

  /** What a token is to the sequence. */
  enum Place {
    /** The one to hand on. */
    NEXT,
    /** Handed on before. */
    DUPLICATE,
    /** Some before it are missing; to be asked for again. */
    GAP,
    /** The same ones are missing again and again; the engine has them no more. */
    LOST
  }

  /** Takes a token in; a gap leaves the sequence where it is. */
  Place take(int index) {
    if (index <= lastIndex) {
      return Place.DUPLICATE;
    }
    if (index > lastIndex + 1) {
      gapsHere++;
      return gapsHere > MAX_GAPS_AT_ONE_TOKEN ? Place.LOST : Place.GAP;
    }
    lastIndex = index;
    gapsHere = 0;
    return Place.NEXT;
  }

  int lastIndex() {
    return lastIndex;
  }
}
