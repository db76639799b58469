package org.cuminrack.load;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cuminrack.yaml.MappingReader;
import org.cuminrack.yaml.YamlError;
import org.cuminrack.yaml.YamlFile;
import org.cuminrack.yaml.YamlNode.Mapping;

/** Reads load profiles, bundled or from a file. */
public final class ProfileFile {
  private static final String BUNDLED_RESOURCE = "/load-profiles/%s.yaml";

  private ProfileFile() {}

  /** Reads the bundled profile with this name or, if there is none, the file at this path. */
  public static Either<List<YamlError>, LoadProfile> read(String nameOrFile) {
    return readTopLevel(nameOrFile)
        .mapLeft(List::of)
        .flatMap(mapping -> readProfile(nameOrFile, mapping));
  }

  private static Either<YamlError, Mapping> readTopLevel(String nameOrFile) {
    String resource = BUNDLED_RESOURCE.formatted(nameOrFile);
    try (InputStream bundled = ProfileFile.class.getResourceAsStream(resource)) {
      if (bundled == null) {
        return YamlFile.read(Path.of(nameOrFile));
      }
      String text = new String(bundled.readAllBytes(), StandardCharsets.UTF_8);
      return YamlFile.parse(nameOrFile, text);
    } catch (IOException e) {
      return Either.left(new YamlError(nameOrFile, 1, "", "a readable profile", e.toString()));
    }
  }

  private static Either<List<YamlError>, LoadProfile> readProfile(String file, Mapping topLevel) {
    List<YamlError> errors = new ArrayList<>();
    MappingReader reader = MappingReader.of(file, topLevel, errors);
    LoadProfile profile = LoadProfile.read(reader);
    reader.rejectUnknownKeys();
    requireNonEmpty(file, topLevel, "data_centres", profile.dataCentres().size(), errors);
    requireNonEmpty(file, topLevel, "classes", profile.classes().size(), errors);
    requireNonEmpty(file, topLevel, "organisations", profile.organisations().size(), errors);
    return errors.isEmpty() ? Either.right(profile) : Either.left(errors);
  }

  private static void requireNonEmpty(
      String file, Mapping topLevel, String key, int count, List<YamlError> errors) {
    if (count == 0) {
      errors.add(new YamlError(file, topLevel.line(), key, "a list of one or more", "none"));
    }
  }
}
