package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Set;

/** Headers that apply to a single connection, or that each hop sets itself. */
public final class HopByHopHeaders {
  private static final Set<HttpString> NAMES =
      Set.of(
          Headers.CONNECTION,
          HttpString.tryFromString("Keep-Alive"),
          Headers.PROXY_AUTHENTICATE,
          Headers.PROXY_AUTHORIZATION,
          Headers.TE,
          Headers.TRAILER,
          Headers.TRANSFER_ENCODING,
          Headers.UPGRADE,
          Headers.HOST,
          Headers.CONTENT_LENGTH,
          Headers.EXPECT,
          Headers.DATE,
          RelayHeaders.REQUEST_ID);

  private HopByHopHeaders() {}

  /** Copies the end-to-end headers. */
  public static void copyEndToEnd(HeaderMap from, HeaderMap to) {
    from.forEach(
        values -> {
          if (!NAMES.contains(values.getHeaderName())) {
            to.putAll(values.getHeaderName(), values);
          }
        });
  }
}
