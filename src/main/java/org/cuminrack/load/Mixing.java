package org.cuminrack.load;

/** A 64-bit mixing function (the finalizer of SplitMix64). */
final class Mixing {

  private Mixing() {}

  static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
