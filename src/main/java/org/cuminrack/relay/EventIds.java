package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cuminrack.admission.Fingerprint;

/**
 * Encodes and decodes event IDs of the form {@code PREFIX.INDEX.MAC}. The prefix encodes the fields
 * that all tokens of a generation share. The index of the last token ends in {@code e}. The MAC is
 * the first 16 bytes of HMAC-SHA-256 over organisation, prefix and index, so that an ID is valid
 * only for the organisation that received it.
 */
final class EventIds {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int MAC_BYTES = 16;
  private static final int FIELD_COUNT = 5;
  private static final int PART_COUNT = 3;
  private static final int MAX_LENGTH = 2048;
  private static final String LAST_TOKEN_SUFFIX = "e";
  private static final char FIELD_SEPARATOR = '\n';
  private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
  private static final Base64.Decoder DECODER = Base64.getUrlDecoder();

  private final ThreadLocal<Mac> threadMac;

  EventIds(ByteString key) {
    SecretKeySpec secret = new SecretKeySpec(key.toByteArray(), ALGORITHM);
    this.threadMac = ThreadLocal.withInitial(() -> newMac(secret));
  }

  /** Returns an encoder for the IDs of one generation. */
  Encoder encoder(
      String organisation, UpstreamProcess target, String generationId, Fingerprint fingerprint) {
    String fields =
        String.join(
            String.valueOf(FIELD_SEPARATOR),
            target.upstream(),
            target.address(),
            target.bootId(),
            generationId,
            fingerprint.hex());
    return new Encoder(
        organisation, ENCODER.encodeToString(fields.getBytes(StandardCharsets.UTF_8)));
  }

  /** Decodes an ID sent by the organisation, or returns why it is invalid. */
  Either<String, EventId> decode(String organisation, String text) {
    String[] parts = text.length() > MAX_LENGTH ? new String[0] : text.split("\\.", -1);
    if (parts.length != PART_COUNT) {
      return Either.left("Last-Event-ID: expected an id of this service");
    }
    try {
      byte[] expectedMac = computeMac(organisation, parts[0], parts[1]);
      if (!MessageDigest.isEqual(expectedMac, DECODER.decode(parts[2]))) {
        return Either.left("Last-Event-ID: not an id that was given to this organisation");
      }
      return Either.right(decodeParts(parts[0], parts[1]));
    } catch (IllegalArgumentException e) {
      return Either.left("Last-Event-ID: expected an id of this service");
    }
  }

  private static EventId decodeParts(String prefix, String indexPart) {
    boolean isLastToken = indexPart.endsWith(LAST_TOKEN_SUFFIX);
    int index =
        Integer.parseInt(isLastToken ? indexPart.substring(0, indexPart.length() - 1) : indexPart);
    String fields = new String(DECODER.decode(prefix), StandardCharsets.UTF_8);
    String[] values = fields.split(String.valueOf(FIELD_SEPARATOR), -1);
    if (values.length != FIELD_COUNT) {
      throw new IllegalArgumentException(
          "expected " + FIELD_COUNT + " fields, found " + values.length);
    }
    return new EventId(values[0], values[1], values[2], values[3], values[4], index, isLastToken);
  }

  private byte[] computeMac(String organisation, String prefix, String index) {
    Mac mac = threadMac.get();
    mac.update(organisation.getBytes(StandardCharsets.UTF_8));
    mac.update((byte) 0);
    mac.update(prefix.getBytes(StandardCharsets.US_ASCII));
    mac.update((byte) 0);
    mac.update(index.getBytes(StandardCharsets.US_ASCII));
    return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
  }

  private static Mac newMac(SecretKeySpec secret) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(secret);
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("not available in this Java runtime: " + ALGORITHM, e);
    }
  }

  /** Encodes the IDs of one generation. */
  final class Encoder {
    private final String organisation;
    private final String prefix;

    private Encoder(String organisation, String prefix) {
      this.organisation = organisation;
      this.prefix = prefix;
    }

    /** Returns the ID of a token. */
    String encode(TokenEvent token) {
      String indexPart = token.index() + (token.isLastToken() ? LAST_TOKEN_SUFFIX : "");
      String mac = ENCODER.encodeToString(computeMac(organisation, prefix, indexPart));
      return prefix + '.' + indexPart + '.' + mac;
    }
  }
}
