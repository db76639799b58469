package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import org.cuminrack.http.Json;

/** The requests that an entry sends to engines. */
final class EngineRequests {

  private EngineRequests() {}

  /** Begins a generation. */
  static UpstreamRequest begin(
      UpstreamProcess target, GenerationRequest request, String requestId) {
    HeaderMap headers = new HeaderMap();
    headers.put(Headers.CONTENT_TYPE, "application/json");
    headers.put(RelayHeaders.REQUEST_ID, requestId);
    ByteString body = ByteString.copyFrom(Json.bytes(request.engineBody(requestId)));
    return new UpstreamRequest(target.address(), Methods.POST, "/v1/completions", headers, body);
  }

  /** Requests the tokens after the given one. */
  static UpstreamRequest events(UpstreamProcess target, String generation, int afterIndex) {
    String path = "/v1/generations/" + generation + "/events?after=" + afterIndex;
    return UpstreamRequest.get(target.address(), path);
  }

  /** Cancels a generation; the response is ignored. */
  static void cancel(UpstreamProcess target, String generation, IoContext io) {
    UpstreamRequest request =
        UpstreamRequest.delete(target.address(), "/v1/generations/" + generation);
    UpstreamExchange exchange = io.open(request, new IgnoringListener());
    io.after(io.bounds().silenceTimeout().toMillis(), exchange::close);
  }
}
