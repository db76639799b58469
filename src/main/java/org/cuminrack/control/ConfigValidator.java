package org.cuminrack.control;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.Organisation;
import org.cuminrack.config.Rollout;
import org.cuminrack.config.Route;
import org.cuminrack.config.Service;
import org.cuminrack.config.VersionedObject;

/**
 * Validates a configuration: the fields of each object, and that the services it refers to exist.
 */
public final class ConfigValidator {
  /** The longest name, in characters. */
  private static final int MAX_NAME_LENGTH = 200;

  private ConfigValidator() {}

  /** Returns the error of the first invalid object, if any. */
  public static Optional<String> firstError(Map<ConfigKey, VersionedObject> objects) {
    return objects.values().stream()
        .map(VersionedObject::object)
        .flatMap(
            object -> error(objects.keySet(), object).map(f -> object.key() + ": " + f).stream())
        .findFirst();
  }

  private static Optional<String> error(Collection<ConfigKey> keys, ConfigObject object) {
    if (object.name().length() > MAX_NAME_LENGTH) {
      return Optional.of("name: expected at most " + MAX_NAME_LENGTH + " characters");
    }
    if (object instanceof Organisation organisation) {
      return positive("weight", organisation.weight())
          .or(() -> positive("maxConcurrentRequests", organisation.maxConcurrentRequests()));
    }
    if (object instanceof Service service && service.serviceKind() == null) {
      return Optional.of("serviceKind: expected GENERATION or PLAIN, found none");
    }
    if (object instanceof Route route) {
      return existingService(keys, route.service())
          .or(() -> positive("timeoutMillis", route.timeoutMillis()))
          .or(() -> positive("maxBodyBytes", route.maxBodyBytes()));
    }
    if (object instanceof Rollout rollout) {
      return existingService(keys, rollout.service())
          .or(() -> nonBlank("model", rollout.model()))
          .or(() -> nonBlank("version", rollout.version()))
          .or(() -> positive("maxUnavailable", rollout.maxUnavailable()));
    }
    return Optional.empty();
  }

  private static Optional<String> existingService(Collection<ConfigKey> keys, String name) {
    if (name != null && keys.contains(new ConfigKey(ConfigKind.SERVICE, name))) {
      return Optional.empty();
    }
    return Optional.of("service: expected a service that exists, found '" + name + "'");
  }

  private static Optional<String> positive(String field, int value) {
    return value > 0
        ? Optional.empty()
        : Optional.of(field + ": expected a number above 0, found " + value);
  }

  private static Optional<String> nonBlank(String field, String value) {
    return value == null || value.isBlank()
        ? Optional.of(field + ": expected a name, found none")
        : Optional.empty();
  }
}
