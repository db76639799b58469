package org.cuminrack.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The words of a stand-in engine's response to a prompt. The word at an index depends only on the
 * seed, so that a caller can verify a response word by word.
 *
 * @param seed derived from the prompt, and from the boot id if responses differ between boots
 */
public record OutputText(long seed) {
  private static final int WORD_BITS = 32;

  /** Returns the response to a prompt, the same on every engine. */
  public static OutputText of(String prompt) {
    return of(prompt, "");
  }

  /** Returns the response to a prompt from one boot of an engine. */
  public static OutputText of(String prompt, String bootId) {
    MessageDigest digest = sha256();
    digest.update(bootId.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    byte[] hash = digest.digest(prompt.getBytes(StandardCharsets.UTF_8));
    return new OutputText(ByteBuffer.wrap(hash).getLong());
  }

  /** Returns the word at an index, followed by a space. */
  public String word(int index) {
    long mixed = mix(seed + index * 0x9E3779B97F4A7C15L);
    return "w" + Long.toHexString(mixed >>> WORD_BITS) + " ";
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
    }
  }
}
