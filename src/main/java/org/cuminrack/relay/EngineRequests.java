package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import org.cuminrack.http.Json;

/** Builds the requests that an entry sends to engines. */
final class EngineRequests {

  private EngineRequests() {}

  /** Returns the request that starts a generation. */
  static UpstreamRequest generationRequest(
      UpstreamProcess target, GenerationRequest request, String requestId) {
    HeaderMap headers = new HeaderMap();
    headers.put(Headers.CONTENT_TYPE, "application/json");
    headers.put(RelayHeaders.REQUEST_ID, requestId);
    ByteString body = ByteString.copyFrom(Json.bytes(request.engineBody(requestId)));
    return new UpstreamRequest(target.address(), Methods.POST, "/v1/completions", headers, body);
  }

  /** Returns the request for the tokens after the given index. */
  static UpstreamRequest eventsRequest(
      UpstreamProcess target, String generationId, int afterIndex) {
    String path = "/v1/generations/" + generationId + "/events?after=" + afterIndex;
    return UpstreamRequest.get(target.address(), path);
  }

  /** Sends a request that cancels a generation, and ignores the response. */
  static void cancel(UpstreamProcess target, String generationId, IoContext io) {
    UpstreamRequest request =
        UpstreamRequest.delete(target.address(), "/v1/generations/" + generationId);
    UpstreamExchange exchange = io.open(request, new IgnoringListener());
    io.after(io.bounds().silenceTimeout().toMillis(), exchange::close);
  }
}
