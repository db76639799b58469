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
            object ->
                errorIn(objects.keySet(), object)
                    .map(error -> object.key() + ": " + error)
                    .stream())
        .findFirst();
  }

  private static Optional<String> errorIn(Collection<ConfigKey> keys, ConfigObject object) {
    if (object.name().length() > MAX_NAME_LENGTH) {
      return Optional.of("name: expected at most " + MAX_NAME_LENGTH + " characters");
    }
    if (object instanceof Organisation organisation) {
      return errorIfNotPositive("weight", organisation.weight())
          .or(
              () ->
                  errorIfNotPositive(
                      "maxConcurrentRequests", organisation.maxConcurrentRequests()));
    }
    if (object instanceof Service service && service.serviceKind() == null) {
      return Optional.of("serviceKind: expected GENERATION or PLAIN, found none");
    }
    if (object instanceof Route route) {
      return errorIfServiceMissing(keys, route.service())
          .or(() -> errorIfNotPositive("timeoutMillis", route.timeoutMillis()))
          .or(() -> errorIfNotPositive("maxBodyBytes", route.maxBodyBytes()));
    }
    if (object instanceof Rollout rollout) {
      return errorIfServiceMissing(keys, rollout.service())
          .or(() -> errorIfBlank("model", rollout.model()))
          .or(() -> errorIfBlank("version", rollout.version()))
          .or(() -> errorIfNotPositive("maxUnavailable", rollout.maxUnavailable()));
    }
    return Optional.empty();
  }

  private static Optional<String> errorIfServiceMissing(Collection<ConfigKey> keys, String name) {
    if (name != null && keys.contains(new ConfigKey(ConfigKind.SERVICE, name))) {
      return Optional.empty();
    }
    return Optional.of("service: expected a service that exists, found '" + name + "'");
  }

  private static Optional<String> errorIfNotPositive(String field, int value) {
    return value > 0
        ? Optional.empty()
        : Optional.of(field + ": expected a number above 0, found " + value);
  }

  private static Optional<String> errorIfBlank(String field, String value) {
    return value == null || value.isBlank()
        ? Optional.of(field + ": expected a name, found none")
        : Optional.empty();
  }
}
