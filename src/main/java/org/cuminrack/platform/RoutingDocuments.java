package org.cuminrack.platform;

import com.fasterxml.jackson.databind.JsonNode;
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
import org.cuminrack.routing.CallerLimits;
import org.cuminrack.routing.EngineSpec;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.routing.KeyHolder;
import org.cuminrack.routing.RequestKind;
import org.cuminrack.routing.RoutingDecoder;
import org.cuminrack.routing.RoutingTable;
import org.cuminrack.routing.ServiceSpec;
import org.cuminrack.routing.WeightedService;

/** Reads the platform's configuration document in full; an invalid one is refused with a reason. */
public final class RoutingDocuments implements RoutingDecoder {
  private static final int DEFAULT_HEADER_BYTES = 16 << 10;
  private static final long DEFAULT_BODY_BYTES = 4 << 20;
  private static final long DEFAULT_HEADER_MS = 3_000;
  private static final long DEFAULT_IDLE_MS = 15_000;

  @Override
  public Either<String, RoutingTable> decode(byte[] document) {
    Either<String, JsonNode> tree = Json.readTree(document);
    if (tree.isLeft()) {
      return Either.left(tree.getLeft());
    }
    try {
      return Either.right(table(tree.get()));
    } catch (JsonFields.Unexpected e) {
      return Either.left(e.getMessage());
    }
  }

  private static RoutingTable table(JsonNode root) {
    JsonFields.require(root.isObject(), "document", "an object", root.getNodeType());
    Map<String, ServiceSpec> services = new HashMap<>();
    for (JsonNode each : JsonFields.list(root, "services")) {
      ServiceSpec service = service(each);
      boolean isNew = services.put(service.name(), service) == null;
      JsonFields.require(isNew, "services", "each name once", service.name());
    }
    List<HttpRoute> routes = new ArrayList<>();
    Set<String> places = new HashSet<>();
    for (JsonNode each : JsonFields.list(root, "routes")) {
      HttpRoute route = route(each, services);
      boolean isNew = places.add(route.host() + route.pathPrefix());
      JsonFields.require(isNew, "routes", "each host and prefix once", route.name());
      routes.add(route);
    }
    return new RoutingTable(
        JsonFields.whole(root, "version"), routes, services, keys(root), limits(root));
  }

  private static ServiceSpec service(JsonNode service) {
    JsonNode engine = service.path("engine");
    return new ServiceSpec(
        JsonFields.text(service, "name"),
        (int) JsonFields.whole(service, "max-conns", Integer.MAX_VALUE),
        JsonFields.number(service, "cold-per-s", 0),
        engine.isObject() ? Optional.of(engine(engine)) : Optional.empty());
  }

  private static EngineSpec engine(JsonNode engine) {
    return new EngineSpec(
        (int) JsonFields.whole(engine, "slots"),
        JsonFields.whole(engine, "kv-capacity-tokens"),
        // The number of output tokens that one event of a stream carries.
        (int) JsonFields.whole(engine, "stride", 1),
        JsonFields.flag(engine, "backups"),
        JsonFields.flag(engine, "moves"));
  }

  private static HttpRoute route(JsonNode route, Map<String, ServiceSpec> services) {
    String name = JsonFields.text(route, "name");
    long timeoutMillis = JsonFields.whole(route, "timeout-ms");
    JsonFields.require(timeoutMillis > 0, "timeout-ms", "more than 0", name);
    String prefix = JsonFields.text(route, "path-prefix");
    boolean isPrefix = prefix.startsWith("/") && prefix.endsWith("/");
    JsonFields.require(isPrefix, "path-prefix", "a slash at both ends", prefix);
    return new HttpRoute(
        name,
        JsonFields.text(route, "host"),
        prefix,
        kind(JsonFields.text(route, "kind")),
        Duration.ofMillis(timeoutMillis),
        Duration.ofMillis(JsonFields.whole(route, "target-latency-ms", timeoutMillis)),
        (int) JsonFields.whole(route, "priority", 0),
        split(route, services),
        (int) Math.max(1, JsonFields.whole(route, "max-attempts", 1)),
        JsonFields.flag(route, "public"));
  }

  private static RequestKind kind(String word) {
    return switch (word) {
      case "safe" -> RequestKind.IDEMPOTENT;
      case "unsafe" -> RequestKind.AT_MOST_ONCE;
      case "streaming" -> RequestKind.EVENT_STREAM;
      default -> throw new JsonFields.Unexpected("kind: expected a known kind, found " + word);
    };
  }

  private static List<WeightedService> split(JsonNode route, Map<String, ServiceSpec> services) {
    List<WeightedService> split = new ArrayList<>();
    if (route.hasNonNull("split")) {
      for (JsonNode each : JsonFields.list(route, "split")) {
        long weight = JsonFields.whole(each, "weight");
        JsonFields.require(weight >= 0, "weight", "0 or more", weight);
        split.add(new WeightedService(JsonFields.text(each, "service"), (int) weight));
      }
      int total = split.stream().mapToInt(WeightedService::weight).sum();
      JsonFields.require(total > 0, "split", "weights that add up to more than 0", total);
    } else {
      split.add(new WeightedService(JsonFields.text(route, "service"), 1));
    }
    for (WeightedService each : split) {
      JsonFields.require(
          services.containsKey(each.service()), "service", "one of services", each.service());
    }
    return split;
  }

  private static Map<String, KeyHolder> keys(JsonNode root) {
    Map<String, KeyHolder> keys = new HashMap<>();
    if (!root.hasNonNull("tenants")) {
      return keys;
    }
    for (JsonNode tenant : JsonFields.list(root, "tenants")) {
      KeyHolder holder = new KeyHolder(JsonFields.text(tenant, "name"), priority(tenant));
      for (JsonNode key : JsonFields.list(tenant, "api-keys")) {
        JsonFields.require(key.isTextual(), "api-keys", "texts", key);
        boolean isNew = keys.put(key.textValue(), holder) == null;
        JsonFields.require(isNew, "api-keys", "each key once", holder.organisation());
      }
    }
    return keys;
  }

  private static OptionalInt priority(JsonNode tenant) {
    return tenant.hasNonNull("priority")
        ? OptionalInt.of((int) JsonFields.whole(tenant, "priority"))
        : OptionalInt.empty();
  }

  private static CallerLimits limits(JsonNode root) {
    JsonNode limits = root.path("limits");
    return new CallerLimits(
        (int) JsonFields.whole(limits, "max-header-bytes", DEFAULT_HEADER_BYTES),
        JsonFields.whole(limits, "max-body-bytes", DEFAULT_BODY_BYTES),
        Duration.ofMillis(JsonFields.whole(limits, "header-timeout-ms", DEFAULT_HEADER_MS)),
        Duration.ofMillis(JsonFields.whole(limits, "idle-timeout-ms", DEFAULT_IDLE_MS)));
  }
}
