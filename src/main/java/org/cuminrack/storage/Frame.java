package org.cuminrack.storage;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Checksummed bytes in a file: a header of mark, length, checksum of the payload and checksum of
 * the header, four bytes each, then the payload.
 */
final class Frame {
  static final int HEADER_BYTES = 16;
  private static final int MARK = 0x63756d69;
  private static final int HEADER_CHECKED_BYTES = 12;
  private static final int SECTOR_BYTES = 512;

  private Frame() {}

  static byte[] wrap(byte[] payload) {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    frame.putInt(MARK).putInt(payload.length).putInt(checksum(payload, 0, payload.length));
    frame.putInt(checksum(frame.array(), 0, HEADER_CHECKED_BYTES));
    frame.put(payload);
    return frame.array();
  }

  /** Reads the frame at a place. */
  static Result read(byte[] file, int offset) {
    int room = file.length - offset;
    if (room < HEADER_BYTES) {
      return new Result.Torn("header of " + room + " bytes");
    }
    ByteBuffer header = ByteBuffer.wrap(file, offset, HEADER_BYTES);
    int mark = header.getInt();
    int length = header.getInt();
    int payloadChecksum = header.getInt();
    boolean headerIsGood = header.getInt() == checksum(file, offset, HEADER_CHECKED_BYTES);
    if (mark != MARK || !headerIsGood || length < 0) {
      return damaged(file, offset, file.length, "header");
    }
    int begin = offset + HEADER_BYTES;
    if (length > file.length - begin) {
      return new Result.Torn("payload: expected " + length + ", found " + (file.length - begin));
    }
    if (payloadChecksum != checksum(file, begin, length)) {
      return damaged(file, begin, begin + length, "payload");
    }
    return new Result.Good(Arrays.copyOfRange(file, begin, begin + length), begin + length);
  }

  /** Tells whether any whole frame begins after a place. */
  static boolean anyAfter(byte[] file, int offset) {
    for (int i = offset + 1; i + HEADER_BYTES <= file.length; i++) {
      boolean maybe = ByteBuffer.wrap(file, i, Integer.BYTES).getInt() == MARK;
      if (maybe && read(file, i) instanceof Result.Good) {
        return true;
      }
    }
    return false;
  }

  /** A write that was cut off leaves sectors that were never written, which read as zeros. */
  private static Result damaged(byte[] file, int from, int to, String part) {
    String detail = "checksum of the " + part + " does not match";
    return hasUnwrittenSector(file, from, to)
        ? new Result.Torn(detail)
        : new Result.Damaged(detail);
  }

  private static boolean hasUnwrittenSector(byte[] file, int from, int to) {
    int sector = from - from % SECTOR_BYTES;
    for (; sector < to; sector += SECTOR_BYTES) {
      int begin = Math.max(from, sector);
      int end = Math.min(to, sector + SECTOR_BYTES);
      if (end > begin && isZero(file, begin, end)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isZero(byte[] file, int begin, int end) {
    for (int i = begin; i < end; i++) {
      if (file[i] != 0) {
        return false;
      }
    }
    return true;
  }

  private static int checksum(byte[] bytes, int offset, int length) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes, offset, length);
    return (int) checksum.getValue();
  }

  /** What stands at a place in a file. */
  sealed interface Result {

    /** A whole frame, and where the next one begins. */
    @SuppressWarnings("ArrayRecordComponent")
    record Good(byte[] payload, int end) implements Result {}

    /** A write that was not finished. */
    record Torn(String detail) implements Result {}

    /** Bytes that were written whole and have changed since. */
    record Damaged(String detail) implements Result {}
  }
}
