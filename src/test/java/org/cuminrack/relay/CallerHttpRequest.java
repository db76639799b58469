package org.cuminrack.relay;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP request that a test sends to an entry as a caller. Organisations and routes are those of
 * {@link FakeMembership}.
 */
record CallerHttpRequest(String method, String path, Map<String, String> headers, String body) {
  static final String GENERATION_BODY = "{\"model\":\"planner\",\"prompt\":\"a week of menus\"}";

  static CallerHttpRequest generation() {
    return of("POST", "/v1/completions").withBody(GENERATION_BODY);
  }

  static CallerHttpRequest order(String key) {
    return of("POST", "/orders/new").withHeader("Idempotency-Key", key).withBody("{\"pouches\":3}");
  }

  static CallerHttpRequest of(String method, String path) {
    return new CallerHttpRequest(method, path, Map.of("X-Organisation", "lyzicka"), "");
  }

  CallerHttpRequest withHeader(String name, String value) {
    Map<String, String> newHeaders = new TreeMap<>(headers);
    newHeaders.put(name, value);
    return new CallerHttpRequest(method, path, newHeaders, body);
  }

  CallerHttpRequest withoutHeader(String name) {
    Map<String, String> newHeaders = new TreeMap<>(headers);
    newHeaders.remove(name);
    return new CallerHttpRequest(method, path, newHeaders, body);
  }

  CallerHttpRequest withBody(String text) {
    return new CallerHttpRequest(method, path, headers, text);
  }

  /** Returns the encoded request; adds {@code Content-Length} unless the headers contain it. */
  byte[] bytes() {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    head.append("Host: entry\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    if (!headers.containsKey("Content-Length")) {
      head.append("Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n");
    }
    return (head + "\r\n" + body).getBytes(StandardCharsets.UTF_8);
  }
}
