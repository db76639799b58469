package org.cuminrack.settings;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.cuminrack.yaml.MappingReader;
import org.cuminrack.yaml.YamlError;
import org.cuminrack.yaml.YamlFile;
import org.cuminrack.yaml.YamlNode.Mapping;

/** Reads and validates the settings of a process; reports all errors at once. */
public final class SettingsFile {

  private SettingsFile() {}

  /** Reads the settings of a control process; errors give file, line, key and expected value. */
  public static Either<List<YamlError>, ControlSettings> control(Path file) {
    return read(file, ControlSettings::read).flatMap(settings -> checkVoter(file, settings));
  }

  /** Reads the settings of an entry process; errors give file, line, key and expected value. */
  public static Either<List<YamlError>, EntrySettings> entry(Path file) {
    return read(file, EntrySettings::read);
  }

  /** Reads the settings of a gateway process; errors give file, line, key and expected value. */
  public static Either<List<YamlError>, GatewayNodeSettings> gateway(Path file) {
    return read(file, GatewayNodeSettings::read);
  }

  private static <T> Either<List<YamlError>, T> read(Path file, Function<MappingReader, T> read) {
    Either<YamlError, Mapping> top = YamlFile.read(file);
    if (top.isLeft()) {
      return Either.left(List.of(top.getLeft()));
    }
    List<YamlError> errors = new ArrayList<>();
    MappingReader reader = MappingReader.of(file.toString(), top.get(), errors);
    T settings = read.apply(reader);
    reader.rejectUnknownKeys();
    return errors.isEmpty() ? Either.right(settings) : Either.left(errors);
  }

  private static Either<List<YamlError>, ControlSettings> checkVoter(
      Path file, ControlSettings settings) {
    String vm = settings.node().vm();
    if (settings.openGroup() || settings.voters().containsKey(vm)) {
      return Either.right(settings);
    }
    String found = String.join(", ", settings.voters().keySet());
    return Either.left(
        List.of(
            new YamlError(
                file.toString(), 1, "voters", "an entry for this VM (" + vm + ")", found)));
  }
}
