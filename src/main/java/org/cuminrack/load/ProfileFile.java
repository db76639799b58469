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

/** Reads load profiles: a file, or one that is shipped, by its name. */
public final class ProfileFile {
  private static final String SHIPPED = "/load-profiles/%s.yaml";

  private ProfileFile() {}

  /** Reads the shipped profile with this name, or else the file. */
  public static Either<List<YamlError>, LoadProfile> read(String nameOrFile) {
    return top(nameOrFile).mapLeft(List::of).flatMap(mapping -> profile(nameOrFile, mapping));
  }

  private static Either<YamlError, Mapping> top(String nameOrFile) {
    String resource = SHIPPED.formatted(nameOrFile);
    try (InputStream shipped = ProfileFile.class.getResourceAsStream(resource)) {
      if (shipped == null) {
        return YamlFile.read(Path.of(nameOrFile));
      }
      String text = new String(shipped.readAllBytes(), StandardCharsets.UTF_8);
      return YamlFile.parse(nameOrFile, text);
    } catch (IOException e) {
      return Either.left(new YamlError(nameOrFile, 1, "", "a readable profile", e.toString()));
    }
  }

  private static Either<List<YamlError>, LoadProfile> profile(String file, Mapping top) {
    List<YamlError> errors = new ArrayList<>();
    MappingReader reader = MappingReader.of(file, top, errors);
    LoadProfile profile = LoadProfile.read(reader);
    reader.refuseUnknownKeys();
    requireSome(file, top, "data_centres", profile.dataCentres().size(), errors);
    requireSome(file, top, "classes", profile.classes().size(), errors);
    requireSome(file, top, "organisations", profile.organisations().size(), errors);
    return errors.isEmpty() ? Either.right(profile) : Either.left(errors);
  }

  private static void requireSome(
      String file, Mapping top, String key, int count, List<YamlError> errors) {
    if (count == 0) {
      errors.add(new YamlError(file, top.line(), key, "a list of one or more", "none"));
    }
  }
}
