package org.cuminrack.gateway;

import io.undertow.util.HeaderMap;
import java.util.function.Consumer;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.relay.ConnectProbe;
import org.cuminrack.relay.ResponseFraming;

/** Decides whether a response whose connection has ended is complete. */
final class ResponseEnd {
  private ResponseEnd() {}

  /** Returns whether the end of a response can be distinguished from a lost connection. */
  static boolean isDetectable(GatewayCall call, int status, HeaderMap headers) {
    return ResponseFraming.hasDetectableEnd(call.exchange().getRequestMethod(), status, headers);
  }

  /**
   * Checks a response. One that only its connection delimits is complete if its upstream still
   * listens; otherwise the upstream may have ended in the middle of it, whether it crashed or left.
   *
   * @param onComplete called at once if the response has a detectable end, otherwise once the
   *     upstream is checked, unless the call has ended by then
   * @param onBroken receives what is wrong with the response, instead of {@code onComplete}
   */
  static void check(
      GatewayCall call,
      UpstreamRecord upstream,
      int status,
      HeaderMap headers,
      Runnable onComplete,
      Consumer<String> onBroken) {
    if (isDetectable(call, status, headers)) {
      onComplete.run();
      return;
    }
    ConnectProbe.start(
        upstream.address(),
        call.io(),
        processEnded -> {
          if (call.hasEnded()) {
            return;
          }
          if (processEnded) {
            onBroken.accept(
                "the upstream ended together with its answer, which has neither a length nor chunks");
          } else {
            onComplete.run();
          }
        });
  }
}
