package review2;

/** Manifests as the pages show them. */
final class Manifest {
  static final String HOST = "shop.example";
  static final String KEY = "key-of-tenant-1";

  private Manifest() {}

  /** Returns a manifest with the routes of a shop and an engine, and more routes of the shop. */
  static String of(long version, int moreRoutes) {
    StringBuilder routes = new StringBuilder();
    routes.append(route("read", "/read/", "safe", 1000, 150, 2, "shop", 2, false, 0)).append(',');
    routes.append(route("order", "/order/", "unsafe", 1000, 150, 2, "shop", 1, false, 0));
    routes.append(',');
    routes.append(route("plan", "/plan/", "streaming", 39000, 1800, 1, "llm", 1, true, 180));
    routes.append(',');
    routes.append(route("check", "/check/", "streaming", 6000, 1500, 0, "llm", 1, true, 180));
    for (int i = 0; i < moreRoutes; i++) {
      String name = "r-" + Integer.toString(1_000_000 + i, 36);
      routes.append(',');
      routes.append(route(name, "/" + name + "/", "safe", 1000, 150, 2, "shop", 2, false, 0));
    }
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + routes
        + "],\"services\":[{\"name\":\"shop\",\"health-path\":\"/health\",\"max-conns\":96,"
        + "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0},"
        + "{\"name\":\"llm\",\"health-path\":\"/health\",\"max-conns\":222,\"protocol\":\"h1\","
        + "\"tls\":false,\"cold-start-s\":1.0,\"cold-per-s\":44.0,\"engine\":{\"slots\":24,"
        + "\"kv-capacity-tokens\":34152,\"kv-token-bytes\":35136,\"link-mbps\":5100.0,"
        + "\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin-ms\":4000.0,"
        + "\"hold-ms\":2000.0,\"handle-s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
        + "\"tenants\":[{\"name\":\"tenant-1\",\"api-keys\":[\""
        + KEY
        + "\"],\"priority\":1}]}";
  }

  private static String route(
      String name,
      String prefix,
      String kind,
      int timeoutMillis,
      int targetMillis,
      int priority,
      String service,
      int attempts,
      boolean sticky,
      int gapMillis) {
    return "{\"name\":\""
        + name
        + "\",\"host\":\""
        + HOST
        + "\",\"path-prefix\":\""
        + prefix
        + "\",\"kind\":\""
        + kind
        + "\",\"timeout-ms\":"
        + timeoutMillis
        + ",\"target-latency-ms\":"
        + targetMillis
        + ",\"priority\":"
        + priority
        + ",\"service\":\""
        + service
        + "\",\"max-attempts\":"
        + attempts
        + ",\"public\":false,\"sticky\":"
        + sticky
        + ",\"resumable\":false"
        + (gapMillis > 0 ? ",\"target-gap-ms\":" + gapMillis : "")
        + "}";
  }
}
