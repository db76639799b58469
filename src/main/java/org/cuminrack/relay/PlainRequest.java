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
 * @param headers the headers to forward to the upstream
 * @param service the route's service
 * @param fingerprint hash of organisation, route, method, path and body
 * @param deadlineNanos deadline for the response, on the monotonic clock
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

  AdmissionClient.RequestParameters admissionParameters() {
    return new AdmissionClient.RequestParameters(
        service,
        organisation,
        fingerprint,
        AdmissionClient.emptyPrompt(),
        0,
        Priority.INTERACTIVE,
        deadlineNanos);
  }

  UpstreamRequest toUpstreamRequest(String address, String requestId) {
    HeaderMap upstreamHeaders = new HeaderMap();
    headers.forEach(values -> upstreamHeaders.putAll(values.getHeaderName(), values));
    upstreamHeaders.put(RelayHeaders.REQUEST_ID, requestId);
    upstreamHeaders.put(RelayHeaders.ORGANISATION, organisation);
    return new UpstreamRequest(address, method, path, upstreamHeaders, body);
  }
}
