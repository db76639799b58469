package org.cuminrack.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.gateway.EngineCalls;
import org.cuminrack.http.Json;
import org.cuminrack.relay.UpstreamRequest;

/** Creates the platform's calls to engines, other than generations. */
public final class PlatformEngineCalls implements EngineCalls {
  private static final String MOVE_PATH = "/cuminrack/kv-move";

  @Override
  public UpstreamRequest copyKvCache(
      String engineAddress, String attemptId, String toAddress, boolean stop) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("id", attemptId);
    body.put("to", toAddress);
    if (stop) {
      // Marks the last copy, with which the generation stops on this engine.
      body.put("last", true);
    }
    HeaderMap headers = new HeaderMap();
    headers.put(Headers.CONTENT_TYPE, "application/json");
    return new UpstreamRequest(
        engineAddress, Methods.POST, MOVE_PATH, headers, ByteString.copyFrom(Json.bytes(body)));
  }

  @Override
  public Optional<String> copyHandle(int status, ByteString body) {
    if (status != StatusCodes.OK) {
      return Optional.empty();
    }
    return Json.readTree(body.toByteArray())
        .toJavaOptional()
        .map(json -> json.path("handle"))
        .filter(JsonNode::isValueNode)
        .map(JsonNode::asText);
  }

  @Override
  public boolean stoppedNothing(int status) {
    return status == StatusCodes.NOT_FOUND || status == StatusCodes.CONFLICT;
  }
}
