/** Manifests in the format of the users' pages. */
final class Manifests {
  static final String HOST = "shop.example";
  static final String LIMITS =
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
          + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}";

  private Manifests() {}

  /** A manifest of the two services of a small deployment, with some idle routes. */
  static String of(long version, int idleRoutes, String tenants) {
    StringBuilder routes = new StringBuilder();
    routes.append(route("r-plan", "/plan/", "streaming", 39000, 1800, 1, "llm"));
    routes.append(',').append(route("r-order", "/order/", "unsafe", 1000, 193, 2, "shop"));
    routes.append(',').append(route("r-stock", "/stock/", "safe", 1000, 193, 2, "shop"));
    for (int i = 0; i < idleRoutes; i++) {
      routes.append(',').append(route("r-idle" + i, "/idle" + i + "/", "safe", 1000, 193, 2,
          "shop"));
    }
    return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
        + "{\"name\":\"llm\",\"health-path\":\"/health\",\"max-conns\":222,\"protocol\":\"h1\","
        + "\"tls\":false,\"cold-start-s\":1.0,\"cold-per-s\":27.0,\"engine\":{\"slots\":24,"
        + "\"kv-capacity-tokens\":34240,\"kv-token-bytes\":35136,\"link-mbps\":5100.0,"
        + "\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin-ms\":4000.0,"
        + "\"hold-ms\":2000.0,\"handle-s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
        + "{\"name\":\"shop\",\"health-path\":\"/health\",\"max-conns\":100,\"protocol\":\"h1\","
        + "\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}]," + LIMITS
        + (tenants.isEmpty() ? "" : ",\"tenants\":" + tenants) + "}";
  }

  static String route(String name, String prefix, String kind, int timeoutMillis,
      int targetMillis, int priority, String service) {
    boolean streaming = kind.equals("streaming");
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path-prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout-ms\":" + timeoutMillis
        + ",\"target-latency-ms\":" + targetMillis + ",\"priority\":" + priority
        + ",\"service\":\"" + service + "\",\"max-attempts\":" + (kind.equals("safe") ? 2 : 1)
        + ",\"public\":false,\"sticky\":" + streaming + ",\"resumable\":false"
        + (streaming ? ",\"target-gap-ms\":180" : "") + "}";
  }
}
