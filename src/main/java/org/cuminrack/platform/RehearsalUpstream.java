package org.cuminrack.platform;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/** An upstream for rehearsals: sends a plain response, or a short event stream for generations. */
public final class RehearsalUpstream implements HttpHandler {
  private static final HttpString ATTEMPT_ID = new HttpString("Attempt-Id");
  private static final int EVENTS = 20;

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    exchange.getRequestReceiver().receiveFullBytes(RehearsalUpstream::respond);
  }

  private static void respond(HttpServerExchange exchange, byte[] body) {
    String attemptId = exchange.getRequestHeaders().getFirst(ATTEMPT_ID);
    if (attemptId != null) {
      exchange.getResponseHeaders().put(ATTEMPT_ID, attemptId);
      exchange.getResponseHeaders().put(new HttpString("Server-Seal"), "seal-" + attemptId);
    }
    if (exchange.getRequestPath().startsWith(RehearsalMessages.GENERATION_PATH)) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
      exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
      exchange.getResponseSender().send(events());
    } else {
      exchange.getResponseSender().send("one answer");
    }
  }

  private static String events() {
    StringBuilder text = new StringBuilder();
    for (int id = 1; id <= EVENTS; id++) {
      text.append("id: ").append(id).append("\ndata: word\n\n");
    }
    return text.toString();
  }
}
