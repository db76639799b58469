package org.cuminrack.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cuminrack.http.Json;
import org.cuminrack.log.LogEvent;
import org.cuminrack.routing.CallerLimits;
import org.cuminrack.routing.EngineSpec;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.routing.KeyHolder;
import org.cuminrack.routing.RequestKind;
import org.cuminrack.routing.RoutingDecoder;
import org.cuminrack.routing.RoutingTable;
import org.cuminrack.routing.ServiceSpec;
import org.cuminrack.routing.WeightedService;

/**
 * Decodes and validates the platform's routing document. An invalid document is rejected as a
 * whole, with a description of its first error.
 */
public final class RoutingDocuments implements RoutingDecoder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double MIN_WEIGHT = 0.001;
  private static final double MAX_WEIGHT = 1_000;
  private static final int DEFAULT_MAX_HEADER_BYTES = 16 << 10;
  private static final long DEFAULT_MAX_BODY_BYTES = 4 << 20;
  private static final long DEFAULT_HEADER_TIMEOUT_MS = 3_000;
  private static final long DEFAULT_IDLE_TIMEOUT_MS = 15_000;

  @Override
  public Either<String, RoutingTable> decode(byte[] document) {
    Either<String, JsonNode> tree = Json.readTree(document);
    if (tree.isLeft()) {
      return Either.left(tree.getLeft());
    }
    try {
      return Either.right(table(tree.get()));
    } catch (JsonFields.InvalidFieldException e) {
      return Either.left(e.getMessage());
    }
  }

  private static RoutingTable table(JsonNode root) {
    JsonFields.require(root.isObject(), "document", "an object", root.getNodeType());
    Map<String, ServiceSpec> services = new HashMap<>();
    for (JsonNode serviceNode : JsonFields.array(root, "services")) {
      ServiceSpec service = service(serviceNode);
      boolean isUnique = services.put(service.name(), service) == null;
      JsonFields.require(isUnique, "services", "each name once", service.name());
    }
    List<HttpRoute> routes = new ArrayList<>();
    Set<String> hostsAndPrefixes = new HashSet<>();
    for (JsonNode routeNode : JsonFields.array(root, "routes")) {
      HttpRoute route = route(routeNode, services);
      boolean isUnique = hostsAndPrefixes.add(route.host() + route.pathPrefix());
      JsonFields.require(isUnique, "routes", "each host and prefix once", route.name());
      routes.add(route);
    }
    return new RoutingTable(
        JsonFields.integer(root, "version"), routes, services, keys(root), limits(root));
  }

  private static ServiceSpec service(JsonNode service) {
    JsonNode engine = service.path("engine");
    return new ServiceSpec(
        JsonFields.string(service, "name"),
        (int) JsonFields.integer(service, "max-conns", Integer.MAX_VALUE),
        JsonFields.number(service, "cold-per-s", 0),
        engine.isObject() ? Optional.of(engine(engine)) : Optional.empty());
  }

  private static EngineSpec engine(JsonNode engine) {
    return new EngineSpec(
        (int) JsonFields.integer(engine, "slots"),
        JsonFields.integer(engine, "kv-capacity-tokens"),
        // Output tokens per event of a stream.
        (int) JsonFields.integer(engine, "stride", 1),
        JsonFields.bool(engine, "backups"),
        JsonFields.bool(engine, "moves"));
  }

  private static HttpRoute route(JsonNode route, Map<String, ServiceSpec> services) {
    String name = JsonFields.string(route, "name");
    long timeoutMillis = JsonFields.integer(route, "timeout-ms");
    JsonFields.require(timeoutMillis > 0, "timeout-ms", "more than 0", name);
    String prefix = JsonFields.string(route, "path-prefix");
    boolean isPrefix = prefix.startsWith("/") && prefix.endsWith("/");
    JsonFields.require(isPrefix, "path-prefix", "a slash at both ends", prefix);
    return new HttpRoute(
        name,
        JsonFields.string(route, "host"),
        prefix,
        kind(JsonFields.string(route, "kind")),
        Duration.ofMillis(timeoutMillis),
        Duration.ofMillis(JsonFields.integer(route, "target-latency-ms", timeoutMillis)),
        targetEventGap(route),
        (int) JsonFields.integer(route, "priority", 0),
        split(route, services),
        (int) Math.max(1, JsonFields.integer(route, "max-attempts", 1)),
        JsonFields.bool(route, "public"));
  }

  private static Optional<Duration> targetEventGap(JsonNode route) {
    long gapMillis = (long) Math.ceil(JsonFields.number(route, "target-gap-ms", 0));
    return gapMillis > 0 ? Optional.of(Duration.ofMillis(gapMillis)) : Optional.empty();
  }

  private static RequestKind kind(String text) {
    return switch (text) {
      case "safe" -> RequestKind.IDEMPOTENT;
      case "unsafe" -> RequestKind.AT_MOST_ONCE;
      case "streaming" -> RequestKind.EVENT_STREAM;
      default ->
          throw new JsonFields.InvalidFieldException("kind: expected a known kind, found " + text);
    };
  }

  private static List<WeightedService> split(JsonNode route, Map<String, ServiceSpec> services) {
    List<WeightedService> split = new ArrayList<>();
    if (route.hasNonNull("split")) {
      for (JsonNode partNode : JsonFields.array(route, "split")) {
        long weight = JsonFields.integer(partNode, "weight");
        JsonFields.require(weight >= 0, "weight", "0 or more", weight);
        split.add(new WeightedService(JsonFields.string(partNode, "service"), (int) weight));
      }
      int total = split.stream().mapToInt(WeightedService::weight).sum();
      JsonFields.require(total > 0, "split", "weights that add up to more than 0", total);
    } else {
      split.add(new WeightedService(JsonFields.string(route, "service"), 1));
    }
    for (WeightedService weighted : split) {
      JsonFields.require(
          services.containsKey(weighted.service()),
          "service",
          "one of services",
          weighted.service());
    }
    return split;
  }

  /** Returns the keys of all tenants; absent if the document does not contain tenants. */
  private static Optional<Map<String, KeyHolder>> keys(JsonNode root) {
    if (!root.has("tenants")) {
      return Optional.empty();
    }
    Map<String, KeyHolder> keys = new HashMap<>();
    for (JsonNode tenant : JsonFields.array(root, "tenants")) {
      String name = JsonFields.string(tenant, "name");
      KeyHolder holder = new KeyHolder(name, priority(tenant), weight(tenant, name));
      for (JsonNode key : JsonFields.array(tenant, "api-keys")) {
        JsonFields.require(key.isTextual(), "api-keys", "texts", key);
        boolean isUnique = keys.put(key.textValue(), holder) == null;
        JsonFields.require(isUnique, "api-keys", "each key once", holder.organisation());
      }
    }
    return Optional.of(keys);
  }

  private static OptionalInt priority(JsonNode tenant) {
    return tenant.hasNonNull("priority")
        ? OptionalInt.of((int) JsonFields.integer(tenant, "priority"))
        : OptionalInt.empty();
  }

  /** Returns a tenant's weight; one that can't be used doesn't make the document invalid. */
  private static double weight(JsonNode tenant, String name) {
    JsonNode weight = tenant.path("weight");
    if (weight.isMissingNode() || weight.isNull()) {
      return KeyHolder.DEFAULT_WEIGHT;
    }
    double value = weight.isNumber() ? weight.doubleValue() : Double.NaN;
    if (value >= MIN_WEIGHT && value <= MAX_WEIGHT) {
      return value;
    }
    logger.atWarning().log(
        "%s",
        LogEvent.named("weight-ignored")
            .with("organisation", name)
            .with("weight", weight)
            .with("used", KeyHolder.DEFAULT_WEIGHT));
    return KeyHolder.DEFAULT_WEIGHT;
  }

  private static CallerLimits limits(JsonNode root) {
    JsonNode limits = root.path("limits");
    return new CallerLimits(
        (int) JsonFields.integer(limits, "max-header-bytes", DEFAULT_MAX_HEADER_BYTES),
        JsonFields.integer(limits, "max-body-bytes", DEFAULT_MAX_BODY_BYTES),
        Duration.ofMillis(
            JsonFields.integer(limits, "header-timeout-ms", DEFAULT_HEADER_TIMEOUT_MS)),
        Duration.ofMillis(JsonFields.integer(limits, "idle-timeout-ms", DEFAULT_IDLE_TIMEOUT_MS)));
  }
}
