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
 * Takes the values of a mapping out by key, and notes everything that is wrong with them. A reader
 * always returns a value of the right type; it counts only while no error was noted.
 *
 * <pre>{@code
 * MappingReader reader = MappingReader.of(file, mapping, errors);
 * String vm = reader.name("vm");
 * Duration lease = reader.millis("lease_millis", Duration.ofSeconds(2), bounds);
 * reader.refuseUnknownKeys();
 * }</pre>
 */
public final class MappingReader {
  private static final String NAME_PATTERN = "[a-z0-9][a-z0-9._-]{0,62}";
  private static final String NAME_EXPECTED =
      "a name of 1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit";
  private static final String ADDRESS_EXPECTED = "an IP number and a port, as 127.0.0.1:7001";
  private static final int MAX_PORT = 65_535;

  private final String file;
  private final String path;
  private final Mapping mapping;
  private final List<YamlError> errors;
  private final Set<String> known = new HashSet<>();

  private MappingReader(String file, String path, Mapping mapping, List<YamlError> errors) {
    this.file = file;
    this.path = path;
    this.mapping = mapping;
    this.errors = errors;
  }

  /** Returns a reader of a file's top; errors are added to the list. */
  public static MappingReader of(String file, Mapping top, List<YamlError> errors) {
    return new MappingReader(file, "", top, errors);
  }

  /** Takes a required name. */
  public String name(String key) {
    return required(key, NAME_EXPECTED, MappingReader::nameOrNull, "");
  }

  /** Takes a required text. */
  public String text(String key) {
    return required(key, "a text", Function.identity(), "");
  }

  /** Takes a text that may be left out. */
  public String text(String key, String otherwise) {
    return has(key) ? text(key) : otherwise;
  }

  /** Takes a required address; port 0 stands for any free one. */
  public InetSocketAddress address(String key) {
    InetSocketAddress none = InetSocketAddress.createUnresolved("0.0.0.0", 0);
    return required(key, ADDRESS_EXPECTED, MappingReader::addressOrNull, none);
  }

  /** Takes a required path. */
  public Path file(String key) {
    return Path.of(text(key));
  }

  /** Takes a whole number that may be left out. */
  public int number(String key, int otherwise, int least, int most) {
    return has(key) ? number(key, least, most) : otherwise;
  }

  /** Takes a required whole number. */
  public int number(String key, int least, int most) {
    String expected = "a whole number from " + least + " to " + most;
    return required(key, expected, text -> numberOrNull(text, least, most), least);
  }

  /** Takes a duration in milliseconds that may be left out. */
  public Duration millis(String key, Duration otherwise, int least, int most) {
    return Duration.ofMillis(number(key, (int) otherwise.toMillis(), least, most));
  }

  /** Takes a truth value that may be left out. */
  public boolean flag(String key, boolean otherwise) {
    return has(key)
        ? required(key, "true or false", MappingReader::flagOrNull, otherwise)
        : otherwise;
  }

  /** Takes one of an enum's constants, in lower case with hyphens. */
  public <E extends Enum<E>> E choice(String key, Class<E> type) {
    E[] all = type.getEnumConstants();
    List<String> words = Arrays.stream(all).map(MappingReader::word).toList();
    String expected = "one of " + String.join(", ", words);
    return required(
        key, expected, text -> words.contains(text) ? all[words.indexOf(text)] : null, all[0]);
  }

  /** Takes a required mapping of names to addresses. */
  public Map<String, String> addresses(String key) {
    Map<String, String> addresses = new LinkedHashMap<>();
    YamlNode node = take(key);
    if (!(node instanceof Mapping inner) || inner.values().isEmpty()) {
      refuse(key, node, "names and addresses, as 'vm-1: 127.0.0.1:7001'");
      return addresses;
    }
    MappingReader reader = new MappingReader(file, path(key) + ".", inner, errors);
    inner.values().keySet().forEach(name -> addresses.put(name, reader.addressText(name)));
    return addresses;
  }

  /** Takes a list of texts that may be left out. */
  public Set<String> texts(String key) {
    Set<String> texts = new LinkedHashSet<>();
    for (YamlNode each : sequence(key)) {
      if (each instanceof Scalar scalar && scalar.text() != null) {
        texts.add(scalar.text());
      } else {
        refuse(key, each, "a list of texts");
      }
    }
    return texts;
  }

  /** Reads each mapping of a list that may be left out. */
  public <T> List<T> each(String key, Function<MappingReader, T> read) {
    List<T> results = new ArrayList<>();
    int index = 0;
    for (YamlNode each : sequence(key)) {
      String where = path(key) + "[" + index + "]";
      if (each instanceof Mapping inner) {
        MappingReader reader = new MappingReader(file, where + ".", inner, errors);
        results.add(read.apply(reader));
        reader.refuseUnknownKeys();
      } else {
        errors.add(new YamlError(file, each.line(), where, "a mapping", each.described()));
      }
      index++;
    }
    return results;
  }

  /** Notes every key that nobody has taken. */
  public void refuseUnknownKeys() {
    String expected = "one of " + String.join(", ", known.stream().sorted().toList());
    mapping.values().entrySet().stream()
        .filter(each -> !known.contains(each.getKey()))
        .forEach(
            each ->
                errors.add(
                    new YamlError(
                        file,
                        each.getValue().line(),
                        path(each.getKey()),
                        expected,
                        "an unknown key")));
  }

  private String addressText(String key) {
    return required(
        key, ADDRESS_EXPECTED, text -> addressOrNull(text) == null ? null : text, "0.0.0.0:0");
  }

  /** Tells whether a key is there. */
  public boolean has(String key) {
    known.add(key);
    return mapping.values().containsKey(key);
  }

  private YamlNode take(String key) {
    known.add(key);
    return mapping.values().get(key);
  }

  private List<YamlNode> sequence(String key) {
    YamlNode node = take(key);
    if (node == null) {
      return List.of();
    }
    if (node instanceof Sequence sequence) {
      return sequence.values();
    }
    refuse(key, node, "a list");
    return List.of();
  }

  private <T> T required(String key, String expected, Function<String, T> parse, T onError) {
    YamlNode node = take(key);
    if (node instanceof Scalar scalar && scalar.text() != null) {
      T value = parse.apply(scalar.text());
      if (value != null) {
        return value;
      }
    }
    refuse(key, node, expected);
    return onError;
  }

  private void refuse(String key, YamlNode node, String expected) {
    int line = node == null ? mapping.line() : node.line();
    String found = node == null ? "no such key" : node.described();
    errors.add(new YamlError(file, line, path(key), expected, found));
  }

  private String path(String key) {
    return path + key;
  }

  private static String nameOrNull(String text) {
    return text.matches(NAME_PATTERN) ? text : null;
  }

  private static Integer numberOrNull(String text, int least, int most) {
    try {
      int value = Integer.parseInt(text);
      return value >= least && value <= most ? value : null;
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

  private static String word(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
