package org.cuminrack.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import org.cuminrack.operator.ConfigurationFile;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.yaml.YamlError;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks every command and every settings example of the documentation. */
class DocumentedExamplesTest {
  private static final Pattern YAML =
      Pattern.compile("```yaml\\n# check: (\\w+)\\n(.*?)```", Pattern.DOTALL);
  private static final Pattern COMMAND = Pattern.compile("(?m)^(?:target/)?cuminrack (.+)$");

  private static final Pattern WORD = Pattern.compile("\"([^\"]*)\"|\\S+");

  @TempDir Path folder;

  @Test
  void shouldHaveValidYaml() throws IOException {
    int checked = 0;
    for (Path page : pages()) {
      Matcher matcher = YAML.matcher(Files.readString(page));
      while (matcher.find()) {
        Path file = Files.writeString(folder.resolve("example.yaml"), matcher.group(2));
        Either<List<YamlError>, ?> result = check(matcher.group(1), file);
        assertWithMessage("%s: %s", page, result).that(result.isRight()).isTrue();
        checked++;
      }
    }
    assertThat(checked).isAtLeast(3);
  }

  @Test
  void shouldHaveCommandsThatTheParserAccepts() throws IOException {
    int parsed = 0;
    for (Path page : pages()) {
      Matcher matcher = COMMAND.matcher(Files.readString(page));
      while (matcher.find()) {
        String line = matcher.group(1);
        assertWithMessage("%s: %s", page, line).that(errorOf(words(line))).isEmpty();
        parsed++;
      }
    }
    assertThat(parsed).isAtLeast(5);
  }

  /** Splits a line into words as a shell does; quoted words may be empty. */
  private static String[] words(String line) {
    return WORD.matcher(line)
        .results()
        .map(each -> each.group(1) != null ? each.group(1) : each.group())
        .toArray(String[]::new);
  }

  private static String errorOf(String... arguments) {
    try {
      Main.parser().parseArgs(arguments);
      return "";
    } catch (HelpScreenException e) {
      return "";
    } catch (ArgumentParserException e) {
      return e.getMessage();
    }
  }

  private static Either<List<YamlError>, ?> check(String kind, Path file) {
    return switch (kind) {
      case "control" -> SettingsFile.control(file);
      case "entry" -> SettingsFile.entry(file);
      case "gateway" -> SettingsFile.gateway(file);
      default -> ConfigurationFile.read(file);
    };
  }

  private static List<Path> pages() throws IOException {
    List<Path> pages = new ArrayList<>(List.of(Path.of("README.md")));
    try (Stream<Path> docs = Files.walk(Path.of("docs"))) {
      docs.filter(each -> each.toString().endsWith(".md")).forEach(pages::add);
    }
    return pages;
  }
}
