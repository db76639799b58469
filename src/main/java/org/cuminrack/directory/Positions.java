package org.cuminrack.directory;

import java.nio.charset.StandardCharsets;

/** Uniform positions by a hash; the same in all processes. */
final class Positions {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final double UNIT = 0x1.0p-53;

  private Positions() {}

  /** Returns a position from 0, inclusive, to 1, exclusive. */
  static double of(String... parts) {
    long hash = FNV_OFFSET;
    for (String part : parts) {
      for (byte value : part.getBytes(StandardCharsets.UTF_8)) {
        hash = (hash ^ (value & 0xff)) * FNV_PRIME;
      }
      hash = (hash ^ 0x100) * FNV_PRIME;
    }
    return (mix(hash) >>> 11) * UNIT;
  }

  /** The finalizer of MurmurHash3: each bit of the input changes each bit of the result. */
  private static long mix(long hash) {
    long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
