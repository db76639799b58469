package org.cuminrack.wire;

import java.util.concurrent.atomic.LongAdder;

/** The bytes exchanged with other cuminrack processes, without TCP overhead. */
public final class WireTraffic {
  private static final LongAdder READ_BYTES = new LongAdder();
  private static final LongAdder WRITTEN_BYTES = new LongAdder();

  private WireTraffic() {}

  /** Returns the bytes read since the process started. */
  public static long readBytes() {
    return READ_BYTES.sum();
  }

  /** Returns the bytes written since the process started. */
  public static long writtenBytes() {
    return WRITTEN_BYTES.sum();
  }

  static void addRead(int bytes) {
    READ_BYTES.add(bytes);
  }

  static void addWritten(int bytes) {
    WRITTEN_BYTES.add(bytes);
  }
}
