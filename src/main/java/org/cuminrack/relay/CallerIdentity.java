package org.cuminrack.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Optional;
import org.cuminrack.config.Configuration;
import org.cuminrack.config.Organisation;

/**
 * Identifies the organisation of a request and verifies the API key if the organisation has one.
 */
final class CallerIdentity {
  private static final String BEARER = "bearer ";

  private CallerIdentity() {}

  /** Returns the organisation, or the reason why the request is not authenticated. */
  static Either<String, Organisation> authenticate(
      HttpServerExchange exchange, Configuration configuration) {
    String name = exchange.getRequestHeaders().getFirst(RelayHeaders.ORGANISATION);
    if (name == null) {
      return Either.left("X-Organisation: expected the organisation's name, found none");
    }
    Optional<Organisation> organisation = configuration.organisation(name);
    if (organisation.isEmpty() || !hasValidKey(exchange, organisation.get())) {
      return Either.left("X-Organisation, Authorization: no such organisation, or another key");
    }
    return Either.right(organisation.get());
  }

  private static boolean hasValidKey(HttpServerExchange exchange, Organisation organisation) {
    if (organisation.keySha256() == null) {
      return true;
    }
    String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
    if (header == null || !header.toLowerCase(Locale.ROOT).startsWith(BEARER)) {
      return false;
    }
    byte[] presentedHash = sha256(header.substring(BEARER.length()).strip());
    return MessageDigest.isEqual(presentedHash, parseHex(organisation.keySha256()));
  }

  /** Returns an empty array, which matches no hash, if the text is not hexadecimal. */
  private static byte[] parseHex(String hex) {
    try {
      return HexFormat.of().parseHex(hex.toLowerCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      return new byte[0];
    }
  }

  private static byte[] sha256(String text) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
    }
  }
}
