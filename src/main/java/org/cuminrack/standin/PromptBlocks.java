package org.cuminrack.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;

/**
 * A prompt split into tokens at whitespace, and the hashes of its full blocks.
 *
 * @param tokens the number of tokens
 * @param hashes the hashes of the full blocks in order; each also covers all blocks before its own
 */
record PromptBlocks(int tokens, List<Long> hashes) {

  static PromptBlocks of(String prompt) {
    String stripped = prompt.strip();
    if (stripped.isEmpty()) {
      return new PromptBlocks(0, List.of());
    }
    List<String> tokens = List.of(stripped.split("\\s+"));
    List<Long> hashes = new ArrayList<>();
    long previous = 0;
    int blocks = tokens.size() / EngineProfile.BLOCK_TOKENS;
    for (int block = 0; block < blocks; block++) {
      int from = block * EngineProfile.BLOCK_TOKENS;
      previous = hash(previous, tokens.subList(from, from + EngineProfile.BLOCK_TOKENS));
      hashes.add(previous);
    }
    return new PromptBlocks(tokens.size(), hashes);
  }

  private static long hash(long previous, List<String> tokens) {
    MessageDigest digest = sha256();
    digest.update(ByteBuffer.allocate(Long.BYTES).putLong(0, previous));
    byte[] hash = digest.digest(String.join(" ", tokens).getBytes(StandardCharsets.UTF_8));
    return ByteBuffer.wrap(hash).getLong();
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
    }
  }
}
