package org.cuminrack.platform;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.Set;
import java.util.function.Supplier;
import org.cuminrack.generated.control.RoutingData;
import org.cuminrack.log.LogEvent;
import org.cuminrack.routing.RoutingTable;

/** The services that the routing document names. Thread-safe: one lock. */
final class NamedServices {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Supplier<RoutingData> routing;
  private final RoutingDocuments documents = new RoutingDocuments();
  private long version = -1;
  private Set<String> names = Set.of();

  /**
   * Creates a view.
   *
   * @param routing supplies the document that this VM has applied
   */
  NamedServices(Supplier<RoutingData> routing) {
    this.routing = routing;
  }

  /** Returns whether a service is named, also if there is no document yet. */
  synchronized boolean include(String service) {
    // Documents are large and change often, services hardly ever.
    if (names.contains(service)) {
      return true;
    }
    RoutingData current = routing.get();
    if (current.getDocument().isEmpty()) {
      return true;
    }
    if (current.getVersion() != version) {
      version = current.getVersion();
      names = decode(current);
    }
    return names.contains(service);
  }

  private Set<String> decode(RoutingData current) {
    Either<String, RoutingTable> table = documents.decode(current.getDocument().toByteArray());
    if (table.isLeft()) {
      logger.atSevere().log(
          "%s",
          LogEvent.named("routing-unreadable")
              .with("version", version)
              .with("detail", table.getLeft()));
      return names;
    }
    return table.get().serviceNames();
  }
}
