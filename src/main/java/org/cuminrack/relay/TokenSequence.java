package org.cuminrack.relay;

/** Tracks the last token of a generation, and detects duplicate and missing tokens. */
final class TokenSequence {
  private static final int MAX_CONSECUTIVE_GAPS = 3;

  private int lastIndex;
  private int consecutiveGaps;

  private TokenSequence(int lastIndex) {
    this.lastIndex = lastIndex;
  }

  /** Returns a sequence that expects the token after the given index; -1 for a new generation. */
  static TokenSequence after(int index) {
    return new TokenSequence(index);
  }

  /** How a token relates to the sequence. */
  enum Classification {
    /** The expected token, to be delivered. */
    NEXT,
    /** Already delivered. */
    DUPLICATE,
    /** Preceding tokens are missing and must be requested again. */
    GAP,
    /** The same tokens were missing repeatedly; the engine no longer has them. */
    LOST
  }

  /** Classifies a token and advances past it if it is the next one. */
  Classification accept(int index) {
    if (index <= lastIndex) {
      return Classification.DUPLICATE;
    }
    if (index > lastIndex + 1) {
      consecutiveGaps++;
      return consecutiveGaps > MAX_CONSECUTIVE_GAPS ? Classification.LOST : Classification.GAP;
    }
    lastIndex = index;
    consecutiveGaps = 0;
    return Classification.NEXT;
  }

  int lastIndex() {
    return lastIndex;
  }
}
