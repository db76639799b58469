package org.cuminrack.operator;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.Rollout;
import org.cuminrack.config.Route;
import org.cuminrack.config.Service;
import org.cuminrack.yaml.MappingReader;
import org.cuminrack.yaml.YamlError;
import org.cuminrack.yaml.YamlFile;
import org.cuminrack.yaml.YamlNode.Mapping;

/** Reads a configuration from YAML and validates it; reports all errors at once. */
public final class ConfigurationFile {

  private ConfigurationFile() {}

  /** Reads a file; an error has the file, line, key, and the expected and the found value. */
  public static Either<List<YamlError>, List<ConfigObject>> read(Path file) {
    return YamlFile.read(file)
        .mapLeft(List::of)
        .flatMap(topLevel -> read(file.toString(), topLevel));
  }

  /** Reads text; errors have {@code name} as the file. */
  public static Either<List<YamlError>, List<ConfigObject>> parse(String name, String text) {
    return YamlFile.parse(name, text).mapLeft(List::of).flatMap(topLevel -> read(name, topLevel));
  }

  private static Either<List<YamlError>, List<ConfigObject>> read(String file, Mapping topLevel) {
    List<YamlError> errors = new ArrayList<>();
    MappingReader reader = MappingReader.of(file, topLevel, errors);
    List<ConfigObject> objects = new ArrayList<>();
    for (ConfigSection section : ConfigSection.values()) {
      objects.addAll(reader.readList(section.key(), section::read));
    }
    reader.rejectUnknownKeys();
    rejectDuplicates(file, objects, errors);
    rejectUnknownServices(file, objects, errors);
    return errors.isEmpty() ? Either.right(objects) : Either.left(errors);
  }

  private static void rejectDuplicates(
      String file, List<ConfigObject> objects, List<YamlError> errors) {
    Set<ConfigKey> seen = new HashSet<>();
    for (ConfigObject each : objects) {
      if (!seen.add(each.key())) {
        errors.add(new YamlError(file, 1, each.key().toString(), "each name once", "it twice"));
      }
    }
  }

  private static void rejectUnknownServices(
      String file, List<ConfigObject> objects, List<YamlError> errors) {
    Set<String> services =
        objects.stream()
            .filter(Service.class::isInstance)
            .map(ConfigObject::name)
            .collect(Collectors.toSet());
    if (services.isEmpty()) {
      return;
    }
    String expected = "a service of this file, one of " + String.join(", ", sorted(services));
    for (ConfigObject each : objects) {
      String service = serviceOf(each);
      if (service != null && !services.contains(service)) {
        errors.add(new YamlError(file, 1, each.key() + ".service", expected, "'" + service + "'"));
      }
    }
  }

  private static List<String> sorted(Set<String> names) {
    return names.stream().sorted().toList();
  }

  private static String serviceOf(ConfigObject object) {
    if (object instanceof Route route) {
      return route.service();
    }
    return object instanceof Rollout rollout ? rollout.service() : null;
  }
}
