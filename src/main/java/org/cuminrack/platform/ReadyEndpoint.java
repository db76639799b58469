package org.cuminrack.platform;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.function.BooleanSupplier;
import org.cuminrack.http.HttpResponses;

/** Readiness check of a gateway: reports to the platform whether it accepts requests. */
public final class ReadyEndpoint implements HttpHandler {
  private static final String READY_PATH = "/cuminrack/ready";

  private final BooleanSupplier ready;

  public ReadyEndpoint(BooleanSupplier ready) {
    this.ready = ready;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (!exchange.getRequestPath().equals(READY_PATH)) {
      HttpResponses.text(exchange, StatusCodes.NOT_FOUND, "no such call\n");
    } else if (ready.getAsBoolean()) {
      HttpResponses.text(exchange, StatusCodes.OK, "ready\n");
    } else {
      HttpResponses.text(exchange, StatusCodes.SERVICE_UNAVAILABLE, "not ready\n");
    }
  }
}
