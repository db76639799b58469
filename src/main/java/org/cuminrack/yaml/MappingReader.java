package org.cuminrack.yaml;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.cuminrack.yaml.YamlNode.Mapping;
import org.cuminrack.yaml.YamlNode.Scalar;
import org.cuminrack.yaml.YamlNode.Sequence;

/**
 * Reads the values of a mapping by key and collects all errors. Every method returns a value of the
 * right type even after an error, so callers must check the errors before they use the values.
 *
 * <pre>{@code
 * MappingReader reader = MappingReader.of(file, mapping, errors);
 * String vm = reader.name("vm");
 * Duration lease = reader.millis("lease_millis", Duration.ofSeconds(2), 100, 60_000);
 * reader.rejectUnknownKeys();
 * }</pre>
 */
public final class MappingReader {
  private static final String NAME_PATTERN = "[a-z0-9][a-z0-9._-]{0,62}";
  private static final String NAME_EXPECTED =
      "a name of 1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit";
  private static final String ADDRESS_EXPECTED = "an IP address and a port, such as 127.0.0.1:7001";
  private static final int MAX_PORT = 65_535;

  private final String file;
  private final String path;
  private final Mapping mapping;
  private final List<YamlError> errors;
  private final Set<String> readKeys = new HashSet<>();

  private MappingReader(String file, String path, Mapping mapping, List<YamlError> errors) {
    this.file = file;
    this.path = path;
    this.mapping = mapping;
    this.errors = errors;
  }

  /** Returns a reader of a file's top-level mapping; errors are added to the list. */
  public static MappingReader of(String file, Mapping top, List<YamlError> errors) {
    return new MappingReader(file, "", top, errors);
  }

  /** Reads a required name. */
  public String name(String key) {
    return required(key, NAME_EXPECTED, MappingReader::nameOrNull, "");
  }

  /** Reads a required string. */
  public String text(String key) {
    return required(key, "a string", Function.identity(), "");
  }

  /** Reads an optional string. */
  public String text(String key, String defaultValue) {
    return has(key) ? text(key) : defaultValue;
  }

  /** Reads a required address; port 0 selects a free port. */
  public InetSocketAddress address(String key) {
    InetSocketAddress fallback = InetSocketAddress.createUnresolved("0.0.0.0", 0);
    return required(key, ADDRESS_EXPECTED, MappingReader::addressOrNull, fallback);
  }

  /** Reads a required path. */
  public Path file(String key) {
    return Path.of(text(key));
  }

  /** Reads an optional whole number. */
  public int number(String key, int defaultValue, int min, int max) {
    return has(key) ? number(key, min, max) : defaultValue;
  }

  /** Reads a required whole number. */
  public int number(String key, int min, int max) {
    String expected = "a whole number from " + min + " to " + max;
    return required(key, expected, text -> numberOrNull(text, min, max), min);
  }

  /** Reads an optional number, which may have a fraction. */
  public double decimal(String key, double defaultValue, int min, int max) {
    String expected = "a number from " + min + " to " + max;
    return has(key)
        ? required(key, expected, text -> decimalOrNull(text, min, max), defaultValue)
        : defaultValue;
  }

  /** Reads an optional duration in milliseconds. */
  public Duration millis(String key, Duration defaultValue, int min, int max) {
    return Duration.ofMillis(number(key, (int) defaultValue.toMillis(), min, max));
  }

  /** Reads an optional boolean. */
  public boolean flag(String key, boolean defaultValue) {
    return has(key)
        ? required(key, "true or false", MappingReader::flagOrNull, defaultValue)
        : defaultValue;
  }

  /** Reads a required enum constant, in lower case with hyphens. */
  public <E extends Enum<E>> E choice(String key, Class<E> type) {
    E[] constants = type.getEnumConstants();
    List<String> optionValues = Arrays.stream(constants).map(MappingReader::optionValue).toList();
    String expected = "one of " + String.join(", ", optionValues);
    return required(
        key,
        expected,
        text -> optionValues.contains(text) ? constants[optionValues.indexOf(text)] : null,
        constants[0]);
  }

  /** Reads a required mapping of names to addresses. */
  public Map<String, String> addresses(String key) {
    Map<String, String> addresses = new LinkedHashMap<>();
    YamlNode node = lookUp(key);
    if (!(node instanceof Mapping inner) || inner.values().isEmpty()) {
      addError(key, node, "names and addresses, such as 'vm-1: 127.0.0.1:7001'");
      return addresses;
    }
    MappingReader reader = new MappingReader(file, path(key) + ".", inner, errors);
    inner.values().keySet().forEach(name -> addresses.put(name, reader.addressText(name)));
    return addresses;
  }

  /** Reads an optional list of strings. */
  public Set<String> texts(String key) {
    Set<String> texts = new LinkedHashSet<>();
    for (YamlNode item : sequence(key)) {
      if (item instanceof Scalar scalar && scalar.text() != null) {
        texts.add(scalar.text());
      } else {
        addError(key, item, "a list of strings");
      }
    }
    return texts;
  }

  /** Reads each mapping of an optional list. */
  public <T> List<T> readList(String key, Function<MappingReader, T> read) {
    List<T> results = new ArrayList<>();
    int index = 0;
    for (YamlNode item : sequence(key)) {
      String itemPath = path(key) + "[" + index + "]";
      if (item instanceof Mapping inner) {
        MappingReader reader = new MappingReader(file, itemPath + ".", inner, errors);
        results.add(read.apply(reader));
        reader.rejectUnknownKeys();
      } else {
        errors.add(new YamlError(file, item.line(), itemPath, "a mapping", item.description()));
      }
      index++;
    }
    return results;
  }

  /** Adds an error for every key that was not read. */
  public void rejectUnknownKeys() {
    String expected = "one of " + String.join(", ", readKeys.stream().sorted().toList());
    mapping.values().entrySet().stream()
        .filter(entry -> !readKeys.contains(entry.getKey()))
        .forEach(
            entry ->
                errors.add(
                    new YamlError(
                        file,
                        entry.getValue().line(),
                        path(entry.getKey()),
                        expected,
                        "an unknown key")));
  }

  /** Adds an error for a value that is valid by itself but not beside the other values. */
  public void reject(String key, String expected) {
    addError(key, lookUp(key), expected);
  }

  private String addressText(String key) {
    return required(
        key, ADDRESS_EXPECTED, text -> addressOrNull(text) == null ? null : text, "0.0.0.0:0");
  }

  /** Returns whether the mapping has a key; the key then counts as read. */
  public boolean has(String key) {
    readKeys.add(key);
    return mapping.values().containsKey(key);
  }

  private YamlNode lookUp(String key) {
    readKeys.add(key);
    return mapping.values().get(key);
  }

  private List<YamlNode> sequence(String key) {
    YamlNode node = lookUp(key);
    if (node == null) {
      return List.of();
    }
    if (node instanceof Sequence sequence) {
      return sequence.values();
    }
    addError(key, node, "a list");
    return List.of();
  }

  private <T> T required(String key, String expected, Function<String, T> parse, T fallback) {
    YamlNode node = lookUp(key);
    if (node instanceof Scalar scalar && scalar.text() != null) {
      T value = parse.apply(scalar.text());
      if (value != null) {
        return value;
      }
    }
    addError(key, node, expected);
    return fallback;
  }

  private void addError(String key, YamlNode node, String expected) {
    int line = node == null ? mapping.line() : node.line();
    String found = node == null ? "no such key" : node.description();
    errors.add(new YamlError(file, line, path(key), expected, found));
  }

  private String path(String key) {
    return path + key;
  }

  private static String nameOrNull(String text) {
    return text.matches(NAME_PATTERN) ? text : null;
  }

  private static Integer numberOrNull(String text, int min, int max) {
    try {
      int value = Integer.parseInt(text);
      return value >= min && value <= max ? value : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }

  private static Double decimalOrNull(String text, int min, int max) {
    try {
      double value = Double.parseDouble(text);
      return value >= min && value <= max ? value : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }

  private static Boolean flagOrNull(String text) {
    return switch (text) {
      case "true" -> true;
      case "false" -> false;
      default -> null;
    };
  }

  private static InetSocketAddress addressOrNull(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:]+]")) {
      return null;
    }
    Integer port = numberOrNull(text.substring(colon + 1), 0, MAX_PORT);
    return port == null ? null : new InetSocketAddress(text.substring(0, colon), port);
  }

  private static String optionValue(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
