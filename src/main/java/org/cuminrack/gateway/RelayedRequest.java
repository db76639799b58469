package org.cuminrack.gateway;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.Optional;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.relay.HopByHopHeaders;
import org.cuminrack.relay.UpstreamRequest;
import org.cuminrack.routing.KeyHolder;

/**
 * A caller's request as it is sent to upstreams.
 *
 * @param exchange the caller's exchange
 * @param head what the gateway reads from the headers
 * @param keyHolder the organisation of the API key; empty on a public route
 * @param body the whole body
 */
record RelayedRequest(
    HttpServerExchange exchange, RequestHead head, Optional<KeyHolder> keyHolder, ByteString body) {

  /** Returns the fingerprint of what stays the same when the caller sends the request again. */
  Fingerprint content() {
    return Fingerprint.of(
        keyHolder.map(KeyHolder::organisation).orElse(""),
        exchange.getRequestMethod() + " " + exchange.getHostAndPort() + pathAndQuery(),
        body.toByteArray());
  }

  /**
   * Creates the request to one upstream.
   *
   * @param timeout how long the upstream may work on it
   * @param backupAddress the engine that keeps the backup of a generation
   * @param resume where a generation resumes
   */
  UpstreamRequest to(
      UpstreamRecord upstream,
      HeaderTranslation translation,
      Duration timeout,
      Optional<String> backupAddress,
      Optional<ResumePoint> resume) {
    HeaderMap headers = new HeaderMap();
    HopByHopHeaders.copyEndToEnd(exchange.getRequestHeaders(), headers);
    headers.put(Headers.HOST, exchange.getHostAndPort());
    translation.writeRequest(
        headers,
        new UpstreamRequestHead(
            timeout, upstream.id(), keyHolder.map(KeyHolder::organisation), backupAddress, resume));
    return new UpstreamRequest(
        upstream.address(), exchange.getRequestMethod(), pathAndQuery(), headers, body);
  }

  private String pathAndQuery() {
    String query = exchange.getQueryString();
    String path = exchange.getRequestURI();
    return query.isEmpty() ? path : path + "?" + query;
  }
}
