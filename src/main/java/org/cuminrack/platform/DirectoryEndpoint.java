package org.cuminrack.platform;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.time.Duration;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.directory.Caller;
import org.cuminrack.directory.GatewayChoice;
import org.cuminrack.fleet.FleetControl;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.http.HttpResponses;
import org.cuminrack.time.Clock;

/** Answers callers' lookups with the addresses of the gateways that accept requests. */
public final class DirectoryEndpoint implements HttpHandler {
  private static final String RESOLVE_PATH = "/cuminrack/resolve";

  private final FleetControl fleet;
  private final Duration addressTtl;
  private final Clock clock;

  /**
   * Creates a handler.
   *
   * @param addressTtl how long callers may cache a response
   */
  public DirectoryEndpoint(FleetControl fleet, Duration addressTtl, Clock clock) {
    this.fleet = fleet;
    this.addressTtl = addressTtl;
    this.clock = clock;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (!exchange.getRequestPath().equals(RESOLVE_PATH)) {
      HttpResponses.json(exchange, StatusCodes.NOT_FOUND, Map.of("error", "no such call"));
      return;
    }
    List<String> addresses =
        GatewayChoice.choose(
                fleet.gatewaysWithLoad(), caller(exchange), clock.now().toEpochMilli(), addressTtl)
            .stream()
            .map(GatewayRecord::callerAddress)
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

  private static Caller caller(HttpServerExchange exchange) {
    String host = exchange.getSourceAddress().getHostString();
    return new Caller(query(exchange, "zone"), host + "/" + query(exchange, "name"));
  }

  private static String query(HttpServerExchange exchange, String name) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return values == null || values.isEmpty() ? "" : values.getFirst();
  }
}
