package org.cuminrack.platform;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.fleet.FleetControl;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.http.HttpResponses;

/** Answers callers' lookups with the addresses of the gateways that accept requests. */
public final class DirectoryEndpoint implements HttpHandler {
  private static final String RESOLVE_PATH = "/cuminrack/resolve";
  private static final int MAX_ADDRESSES = 64;

  private final FleetControl fleet;
  private final Duration addressTtl;

  /**
   * Creates a handler.
   *
   * @param addressTtl how long callers may cache a response
   */
  public DirectoryEndpoint(FleetControl fleet, Duration addressTtl) {
    this.fleet = fleet;
    this.addressTtl = addressTtl;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (!exchange.getRequestPath().equals(RESOLVE_PATH)) {
      HttpResponses.json(exchange, StatusCodes.NOT_FOUND, Map.of("error", "no such call"));
      return;
    }
    List<String> addresses =
        fleet.gateways().stream()
            .filter(GatewayRecord::serving)
            .map(GatewayRecord::callerAddress)
            .limit(MAX_ADDRESSES)
            .toList();
    if (addresses.isEmpty()) {
      HttpResponses.json(
          exchange, StatusCodes.SERVICE_UNAVAILABLE, Map.of("error", "no gateway is known"));
      return;
    }
    Map<String, Object> response = new LinkedHashMap<>();
    response.put("addrs", addresses);
    response.put("ttl-s", addressTtl.toSeconds());
    HttpResponses.json(exchange, StatusCodes.OK, response);
  }
}
