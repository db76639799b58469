package org.cuminrack.admission;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a request when its caller sends it again.
 *
 * @param hex SHA-256 of organisation, route and body in lower-case hex
 */
public record Fingerprint(String hex) {
  private static final int SHORT_LENGTH = 16;

  /** Returns the fingerprint of a request. */
  public static Fingerprint of(String organisation, String route, byte[] body) {
    MessageDigest digest = sha256();
    digest.update(organisation.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    digest.update(route.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    return new Fingerprint(HexFormat.of().formatHex(digest.digest(body)));
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
