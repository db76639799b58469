package org.cuminrack.pool;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import org.cuminrack.http.HttpResponses;
import org.cuminrack.http.JsonBodyHandler;
import org.cuminrack.http.ProblemDocument;

/** The HTTP endpoints for upstreams: announcements, reports and cache events. */
public final class AnnounceApi {
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int BAD_REQUEST = 400;

  private final UpstreamRegistry registry;

  public AnnounceApi(UpstreamRegistry registry) {
    this.registry = registry;
  }

  /** Adds the endpoints to the paths of an entry. */
  public PathHandler addTo(PathHandler paths) {
    return paths
        .addExactPath("/v1/announce", handler(Announcement.class, this::announce))
        .addExactPath("/v1/report", handler(Report.class, this::report))
        .addExactPath("/v1/cache-events", handler(CacheEvents.class, this::cacheEvents));
  }

  private interface BodyConsumer<T> {
    void accept(HttpServerExchange exchange, T value);
  }

  private static <T> HttpHandler handler(Class<T> type, BodyConsumer<T> consumer) {
    return JsonBodyHandler.reading(type, consumer::accept);
  }

  private void announce(HttpServerExchange exchange, Announcement announcement) {
    String error = AnnouncementValidator.validate(announcement);
    if (!error.isEmpty()) {
      ProblemDocument.of(BAD_REQUEST, "bad-request", error).send(exchange);
      return;
    }
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            registry
                .announce(announcement)
                .thenAccept(
                    response ->
                        exchange.dispatch(
                            SameThreadExecutor.INSTANCE, () -> send(exchange, response))));
  }

  private void report(HttpServerExchange exchange, Report report) {
    send(exchange, registry.report(report));
  }

  private void cacheEvents(HttpServerExchange exchange, CacheEvents events) {
    send(exchange, registry.reportCacheEvents(events));
  }

  private static void send(
      HttpServerExchange exchange, Either<AnnouncementRequired, ReportTarget> response) {
    if (response.isRight()) {
      HttpResponses.json(exchange, OK, response.get());
    } else {
      ProblemDocument.of(CONFLICT, "announce-first", response.getLeft().reason()).send(exchange);
    }
  }
}
