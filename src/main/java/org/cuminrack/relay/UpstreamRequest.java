package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;

/**
 * A request to an upstream.
 *
 * @param address host and port
 * @param path path and query
 * @param headers sent unchanged; {@code Connection}, {@code Content-Length} and, if missing, {@code
 *     Host} are added
 */
public record UpstreamRequest(
    String address, HttpString method, String path, HeaderMap headers, ByteString body) {

  public static UpstreamRequest get(String address, String path) {
    return new UpstreamRequest(address, Methods.GET, path, new HeaderMap(), ByteString.EMPTY);
  }

  public static UpstreamRequest delete(String address, String path) {
    return new UpstreamRequest(address, Methods.DELETE, path, new HeaderMap(), ByteString.EMPTY);
  }
}
