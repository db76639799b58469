package org.cuminrack.sharing;

/** Hashes that are the same in all processes. */
final class Hashes {
  // Multipliers of the SplitMix64 finaliser.
  private static final long MIX_A = 0xbf58476d1ce4e5b9L;
  private static final long MIX_B = 0x94d049bb133111ebL;
  private static final long STEP = 0x9e3779b97f4a7c15L;

  private Hashes() {}

  /** Returns a hash of a text. */
  static long of(String text) {
    return mix(text.hashCode() * STEP + text.length());
  }

  /** Returns a hash of two hashes, in this order. */
  static long combine(long first, long second) {
    return mix(first * STEP + second);
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * MIX_A;
    mixed = (mixed ^ (mixed >>> 27)) * MIX_B;
    return mixed ^ (mixed >>> 31);
  }
}
