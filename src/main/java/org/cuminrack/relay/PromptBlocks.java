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
 * The blocks of a prompt, as hashed by the engines' prefix caches.
 *
 * @param tokens number of tokens in the prompt
 * @param hashes one hash for each full block, covering the block and all before it
 */
record PromptBlocks(int tokens, List<Long> hashes) {
  private static final int TOKENS_PER_BLOCK = 16;
  private static final int HASH_BYTES = 8;

  /** Splits a prompt into blocks; each word counts as one token. */
  static PromptBlocks of(String prompt) {
    StringTokenizer words = new StringTokenizer(prompt);
    List<Long> hashes = new ArrayList<>();
    byte[] previous = new byte[HASH_BYTES];
    List<String> block = new ArrayList<>(TOKENS_PER_BLOCK);
    int tokens = 0;
    while (words.hasMoreTokens()) {
      block.add(words.nextToken());
      tokens++;
      if (block.size() == TOKENS_PER_BLOCK) {
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
      byte[] fullHash = digest.digest(String.join(" ", block).getBytes(StandardCharsets.UTF_8));
      return Arrays.copyOf(fullHash, HASH_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
    }
  }
}
