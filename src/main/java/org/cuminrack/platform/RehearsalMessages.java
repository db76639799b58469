package org.cuminrack.platform;

import com.google.protobuf.ByteString;
import io.undertow.util.Methods;
import org.cuminrack.http.HttpCall;

/**
 * Sample messages of the platform, which a rehearsal sends to the control and gateway processes.
 */
public final class RehearsalMessages {
  /** The service for which {@link RehearsalUpstream} sends plain responses. */
  public static final String PLAIN_SERVICE = "shop";

  /** The service for which {@link RehearsalUpstream} sends event streams. */
  public static final String ENGINE_SERVICE = "llm";

  static final String GENERATION_PATH = "/plan/";

  private static final String HOST = "rehearsal.example";
  private static final String KEY = "rehearsal-key";
  private static final String DOCUMENT =
      """
      {"version":%d,"routes":[
       {"name":"read","host":"rehearsal.example","path-prefix":"/read/","kind":"safe",
        "timeout-ms":1000,"target-latency-ms":200,"priority":2,"service":"shop","max-attempts":2,
        "public":false},
       {"name":"order","host":"rehearsal.example","path-prefix":"/order/","kind":"unsafe",
        "timeout-ms":1000,"target-latency-ms":200,"priority":2,"service":"shop","max-attempts":1,
        "public":false},
       {"name":"plan","host":"rehearsal.example","path-prefix":"/plan/","kind":"streaming",
        "timeout-ms":20000,"target-latency-ms":1800,"priority":1,"service":"llm",
        "max-attempts":1,"public":false}],
       "services":[{"name":"shop","health-path":"/health","max-conns":96},
        {"name":"llm","health-path":"/health","max-conns":222,"engine":{"slots":24,
         "kv-capacity-tokens":34000,"stride":4,"backups":true,"moves":true}}],
       "tenants":[{"name":"org-1","api-keys":["rehearsal-key"],"priority":1}]}""";
  private static final String REPORT =
      """
      {"service":"%s","address":"%s","zone":"local-a","version":"v1","slots":6,"state":"ready",
       "cold-left-ms":0,"call-seq":%d,"born":%d}""";

  private RehearsalMessages() {}

  /** Returns an operator's call that replaces the routing document. */
  public static HttpCall routing(String controlAddress, long version) {
    return HttpCall.of(Methods.POST, controlAddress, "/cuminrack/config/replace")
        .withBody(ByteString.copyFromUtf8(DOCUMENT.formatted(version)));
  }

  /** Returns an upstream's heartbeat. */
  public static HttpCall announcement(
      String controlAddress, String service, String upstreamAddress, long sequence) {
    return HttpCall.of(
            Methods.POST, controlAddress, "/cuminrack/instances/i-" + service + "/heartbeat")
        .withBody(
            ByteString.copyFromUtf8(
                REPORT.formatted(service, upstreamAddress, sequence, sequence)));
  }

  /** Returns a caller's lookup of gateway addresses. */
  public static HttpCall lookup(String directoryAddress) {
    return HttpCall.of(Methods.GET, directoryAddress, "/cuminrack/resolve?name=" + HOST);
  }

  /** Returns a readiness check of a gateway. */
  public static HttpCall readiness(String readyAddress) {
    return HttpCall.of(Methods.GET, readyAddress, "/cuminrack/ready");
  }

  /** Returns a caller's idempotent request. */
  public static HttpCall read(String callerAddress, int number) {
    return fromCaller(HttpCall.of(Methods.GET, callerAddress, "/read/x"), "read-" + number);
  }

  /** Returns a caller's request that runs at most once. */
  public static HttpCall order(String callerAddress, int number) {
    return fromCaller(
        HttpCall.of(Methods.POST, callerAddress, "/order/x")
            .withBody(ByteString.copyFromUtf8("one order")),
        "order-" + number);
  }

  /** Returns a caller's request for an event stream. */
  public static HttpCall generation(String callerAddress, int number) {
    return fromCaller(
            HttpCall.of(Methods.POST, callerAddress, GENERATION_PATH + "x")
                .withBody(ByteString.copyFromUtf8("one prompt")),
            "plan-" + number)
        .withHeader("Token-Counts", "900,400")
        .withHeader("Length-Hint", "200")
        .withHeader("Prompt-Prefix", "a:100,b:200");
  }

  private static HttpCall fromCaller(HttpCall call, String attemptId) {
    return call.withHeader("Host", HOST)
        .withHeader("Attempt-Id", attemptId)
        .withHeader("Deadline-Ms", "5000")
        .withHeader("Authorization", "Bearer " + KEY);
  }
}
