package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import org.cuminrack.admission.Fingerprint;
import org.junit.jupiter.api.Test;

class EventIdsTest {
  private static final UpstreamProcess ENGINE =
      new UpstreamProcess("engine-1", "127.0.0.1:9001", "boot-1");
  private static final Fingerprint FINGERPRINT = new Fingerprint("00ff");
  private static final TokenEvent TOKEN = new TokenEvent(41, false);

  private final EventIds ids = new EventIds(ByteString.copyFromUtf8("0123456789abcdef"));

  private String encode(TokenEvent token) {
    return ids.encoder("app", ENGINE, "g1", FINGERPRINT).encode(token);
  }

  @Test
  void shouldDecodeAnEncodedId() {
    EventId id = ids.decode("app", encode(TOKEN)).get();

    assertThat(id)
        .isEqualTo(new EventId("engine-1", "127.0.0.1:9001", "boot-1", "g1", "00ff", 41, false));
  }

  @Test
  void shouldMarkTheLastToken() {
    EventId id = ids.decode("app", encode(new TokenEvent(42, true))).get();

    assertThat(id.index()).isEqualTo(42);
    assertThat(id.isLastToken()).isTrue();
  }

  @Test
  void shouldRejectTheIdOfAnotherOrganisation() {
    assertThat(ids.decode("other", encode(TOKEN)).isLeft()).isTrue();
  }

  @Test
  void shouldRejectAnIdSignedWithAnotherKey() {
    EventIds otherIds = new EventIds(ByteString.copyFromUtf8("fedcba9876543210"));

    assertThat(otherIds.decode("app", encode(TOKEN)).isLeft()).isTrue();
  }

  @Test
  void shouldRejectAChangedIndexOrPrefix() {
    String id = encode(TOKEN);

    assertThat(ids.decode("app", id.replace(".41.", ".40.")).isLeft()).isTrue();
    assertThat(ids.decode("app", "x" + id).isLeft()).isTrue();
  }

  @Test
  void shouldRejectAMalformedId() {
    assertThat(ids.decode("app", "41").getLeft()).contains("expected an id of this service");
    assertThat(ids.decode("app", "a.b.%%").getLeft()).contains("expected an id of this service");
    assertThat(ids.decode("app", "a".repeat(5_000)).isLeft()).isTrue();
  }
}
