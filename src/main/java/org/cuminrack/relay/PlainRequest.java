package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Priority;

/**
 * A plain call as its caller sent it.
 *
 * @param path path and query
 * @param headers those that go on to the upstream
 * @param service the service that the route leads to
 * @param fingerprint over organisation, route, method, path and body
 * @param deadlineNanos on the monotonic clock, when the answer must be there
 */
record PlainRequest(
    HttpString method,
    String path,
    HeaderMap headers,
    ByteString body,
    String service,
    String organisation,
    Fingerprint fingerprint,
    long deadlineNanos) {

  AdmissionClient.Shape shape() {
    return new AdmissionClient.Shape(
        service,
        organisation,
        fingerprint,
        AdmissionClient.noPrompt(),
        0,
        Priority.INTERACTIVE,
        deadlineNanos);
  }

  UpstreamRequest to(String address, String requestId) {
    HeaderMap sent = new HeaderMap();
    headers.forEach(each -> sent.putAll(each.getHeaderName(), each));
    sent.put(RelayHeaders.REQUEST_ID, requestId);
    sent.put(RelayHeaders.ORGANISATION, organisation);
    return new UpstreamRequest(address, method, path, sent, body);
  }
}
