package org.cuminrack.storage;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * A checksummed frame in a file: a header of magic number, payload length, payload checksum and
 * header checksum, four bytes each, then the payload.
 */
final class Frame {
  static final int HEADER_BYTES = 16;
  private static final int MAGIC = 0x63756d69;
  private static final int CHECKSUMMED_HEADER_BYTES = 12;
  private static final int SECTOR_BYTES = 512;

  private Frame() {}

  static byte[] wrap(byte[] payload) {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    frame.putInt(MAGIC).putInt(payload.length).putInt(checksum(payload, 0, payload.length));
    frame.putInt(checksum(frame.array(), 0, CHECKSUMMED_HEADER_BYTES));
    frame.put(payload);
    return frame.array();
  }

  /** Reads the frame at an offset. */
  static Result read(byte[] file, int offset) {
    int available = file.length - offset;
    if (available < HEADER_BYTES) {
      return new Result.Torn("incomplete header of " + available + " bytes");
    }
    ByteBuffer header = ByteBuffer.wrap(file, offset, HEADER_BYTES);
    int magic = header.getInt();
    int length = header.getInt();
    int payloadChecksum = header.getInt();
    boolean headerIsIntact = header.getInt() == checksum(file, offset, CHECKSUMMED_HEADER_BYTES);
    if (magic != MAGIC || !headerIsIntact || length < 0) {
      return classifyMismatch(file, offset, file.length, "header");
    }
    int begin = offset + HEADER_BYTES;
    if (length > file.length - begin) {
      return new Result.Torn(
          "payload: expected " + length + " bytes, found " + (file.length - begin));
    }
    if (payloadChecksum != checksum(file, begin, length)) {
      return classifyMismatch(file, begin, begin + length, "payload");
    }
    return new Result.Intact(Arrays.copyOfRange(file, begin, begin + length), begin + length);
  }

  /** Returns whether any intact frame starts after an offset. */
  static boolean hasFrameAfter(byte[] file, int offset) {
    for (int i = offset + 1; i + HEADER_BYTES <= file.length; i++) {
      boolean hasMagic = ByteBuffer.wrap(file, i, Integer.BYTES).getInt() == MAGIC;
      if (hasMagic && read(file, i) instanceof Result.Intact) {
        return true;
      }
    }
    return false;
  }

  /**
   * Classifies a checksum mismatch. An interrupted write leaves unwritten sectors, which read as
   * zeros.
   */
  private static Result classifyMismatch(byte[] file, int from, int to, String part) {
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

  /** The result of reading a frame. */
  sealed interface Result {

    /** An intact frame, and the offset of the next one. */
    @SuppressWarnings("ArrayRecordComponent")
    record Intact(byte[] payload, int end) implements Result {}

    /** An unfinished write. */
    record Torn(String detail) implements Result {}

    /** Data that was written completely and has changed since. */
    record Damaged(String detail) implements Result {}
  }
}
