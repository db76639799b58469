package org.cuminrack.admission;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a request when its caller sends it again, or a part of a prompt that requests share.
 *
 * @param hex SHA-256 in lower-case hex: of organisation, route and body, or of service and part
 */
public record Fingerprint(String hex) {
  private static final int SHORT_LENGTH = 16;

  /** Digits of a prompt part's fingerprint; each suspect part also stores those of others. */
  private static final int PART_LENGTH = 32;

  /** Returns the fingerprint of a request. */
  public static Fingerprint of(String organisation, String route, byte[] body) {
    MessageDigest digest = sha256();
    digest.update(organisation.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    digest.update(route.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    return new Fingerprint(HexFormat.of().formatHex(digest.digest(body)));
  }

  /** Returns the fingerprint of one part of prompts, by its id, at one service. */
  public static Fingerprint ofPromptPart(String service, String partId) {
    MessageDigest digest = sha256();
    digest.update(service.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    byte[] hash = digest.digest(partId.getBytes(StandardCharsets.UTF_8));
    return new Fingerprint(HexFormat.of().formatHex(hash).substring(0, PART_LENGTH));
  }

  /** Returns the first digits, which identify the request in logs. */
  public String shortHex() {
    return hex.substring(0, Math.min(SHORT_LENGTH, hex.length()));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
    }
  }
}
