package org.cuminrack.yaml;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.yaml.YamlNode.Mapping;
import org.cuminrack.yaml.YamlNode.Scalar;
import org.cuminrack.yaml.YamlNode.Sequence;

/** Reads a YAML file into {@link YamlNode}s, which keep their line numbers. */
public final class YamlFile {
  private static final YAMLFactory FACTORY =
      YAMLFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

  private YamlFile() {}

  /** Reads a file with a mapping at the top level. */
  public static Either<YamlError, Mapping> read(Path file) {
    try {
      return parse(file.toString(), Files.readString(file));
    } catch (NoSuchFileException e) {
      return Either.left(new YamlError(file.toString(), 1, "", "a file", "none"));
    } catch (IOException e) {
      return Either.left(new YamlError(file.toString(), 1, "", "a readable file", e.toString()));
    }
  }

  /** Parses text with a mapping at the top level. */
  public static Either<YamlError, Mapping> parse(String file, String text) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return Either.left(new YamlError(file, 1, "", "a mapping", "something else"));
      }
      return Either.right(mapping(parser));
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      String found = firstLine(e.getOriginalMessage());
      return Either.left(new YamlError(file, line, "", "well-formed YAML", found));
    } catch (IOException e) {
      return Either.left(new YamlError(file, 1, "", "readable text", e.toString()));
    }
  }

  private static YamlNode node(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> mapping(parser);
      case START_ARRAY -> sequence(parser);
      case VALUE_NULL -> new Scalar(null, line(parser));
      default -> new Scalar(parser.getText(), line(parser));
    };
  }

  private static Mapping mapping(JsonParser parser) throws IOException {
    int line = line(parser);
    Map<String, YamlNode> values = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      parser.nextToken();
      values.put(key, node(parser));
    }
    return new Mapping(values, line);
  }

  private static Sequence sequence(JsonParser parser) throws IOException {
    int line = line(parser);
    List<YamlNode> values = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      values.add(node(parser));
    }
    return new Sequence(values, line);
  }

  private static int line(JsonParser parser) {
    return parser.currentTokenLocation().getLineNr();
  }

  private static String firstLine(String text) {
    int end = text.indexOf('\n');
    return end < 0 ? text : text.substring(0, end);
  }
}
