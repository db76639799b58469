package org.cuminrack.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.StringTokenizer;

/**
 * A prompt as engines' prefix caches see it.
 *
 * @param tokens how many tokens it has
 * @param hashes one for each whole block, each covering all before it
 */
record PromptBlocks(int tokens, List<Long> hashes) {
  private static final int TOKENS_A_BLOCK = 16;
  private static final int HASH_BYTES = 8;

  static PromptBlocks of(String prompt) {
    StringTokenizer words = new StringTokenizer(prompt);
    List<Long> hashes = new ArrayList<>();
    byte[] previous = new byte[HASH_BYTES];
    List<String> block = new ArrayList<>(TOKENS_A_BLOCK);
    int tokens = 0;
    while (words.hasMoreTokens()) {
      block.add(words.nextToken());
      tokens++;
      if (block.size() == TOKENS_A_BLOCK) {
        previous = hash(previous, block);
        hashes.add(ByteBuffer.wrap(previous).getLong());
        block.clear();
      }
    }
    return new PromptBlocks(tokens, List.copyOf(hashes));
  }

  private static byte[] hash(byte[] previous, List<String> block) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(previous);
      byte[] whole = digest.digest(String.join(" ", block).getBytes(StandardCharsets.UTF_8));
      return Arrays.copyOf(whole, HASH_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
