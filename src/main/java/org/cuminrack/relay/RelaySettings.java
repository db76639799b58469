package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of an entry's data path.
 *
 * @param entryName this entry's name
 * @param httpAddress host and port of this entry for callers
 * @param addressTtl how long callers cache the response of {@code GET /v1/entries}
 * @param eventKey key shared by all entries, for authenticating event IDs
 * @param bounds timeouts and memory limits
 */
public record RelaySettings(
    String entryName,
    String httpAddress,
    Duration addressTtl,
    ByteString eventKey,
    RelayBounds bounds) {
  private static final int MIN_KEY_BYTES = 16;

  /** Checks that every setting is present and that the key is long enough. */
  public RelaySettings {
    Objects.requireNonNull(entryName, "entryName");
    Objects.requireNonNull(httpAddress, "httpAddress");
    Objects.requireNonNull(addressTtl, "addressTtl");
    Objects.requireNonNull(bounds, "bounds");
    if (eventKey.size() < MIN_KEY_BYTES) {
      throw new IllegalArgumentException(
          "eventKey: expected at least " + MIN_KEY_BYTES + " bytes, found " + eventKey.size());
    }
  }

  @Override
  public String toString() {
    return "RelaySettings[" + entryName + ", " + httpAddress + ", " + bounds + "]";
  }
}
