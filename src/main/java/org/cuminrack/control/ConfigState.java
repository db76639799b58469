package org.cuminrack.control;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.VersionedObject;
import org.cuminrack.generated.control.ChangeRequest;
import org.cuminrack.generated.control.ChangeVerdict;
import org.cuminrack.generated.control.ConfigObjectData;
import org.cuminrack.generated.control.ObjectChange;
import org.cuminrack.generated.control.Verdict;

/** The configuration objects; a batch of changes is applied atomically. Not thread-safe. */
final class ConfigState {
  private Map<ConfigKey, VersionedObject> objects = new TreeMap<>();

  /** Applies a batch at a log index, or returns why it was rejected. */
  ChangeVerdict apply(long index, ChangeRequest request) {
    Either<ChangeVerdict, List<DecodedChange>> decoded = decode(request);
    if (decoded.isLeft()) {
      return decoded.getLeft();
    }
    Optional<ChangeVerdict> conflict = firstConflict(decoded.get());
    if (conflict.isPresent()) {
      return conflict.get();
    }
    Map<ConfigKey, VersionedObject> changed = new TreeMap<>(objects);
    decoded.get().forEach(change -> change.applyTo(changed, index));
    Optional<String> error = ConfigValidator.firstError(changed);
    if (error.isPresent()) {
      return invalid(error.get());
    }
    objects = changed;
    return ChangeVerdict.newBuilder().setVerdict(Verdict.ACCEPTED).setRevision(index).build();
  }

  /** Returns all objects, ordered by kind and name. */
  Collection<VersionedObject> objects() {
    return objects.values();
  }

  /** Returns the message for an object, whether it exists or not. */
  ConfigObjectData data(ConfigKey key) {
    VersionedObject current = objects.get(key);
    return current == null ? ConfigCodec.absentData(key) : ConfigCodec.toData(current);
  }

  /** Replaces all objects with those of a snapshot. */
  void restore(Collection<ConfigObjectData> restored) {
    objects = new TreeMap<>();
    restored.forEach(
        data -> objects.put(ConfigCodec.key(data), ConfigCodec.toVersionedObject(data)));
  }

  private Optional<ChangeVerdict> firstConflict(List<DecodedChange> changes) {
    return changes.stream()
        .filter(change -> revisionOf(change.key()) != change.expectedRevision())
        .findFirst()
        .map(
            change ->
                ChangeVerdict.newBuilder()
                    .setVerdict(Verdict.CONFLICT)
                    .setExpectedRevision(change.expectedRevision())
                    .setPresent(data(change.key()))
                    .build());
  }

  private long revisionOf(ConfigKey key) {
    VersionedObject current = objects.get(key);
    return current == null ? 0 : current.revision();
  }

  private static Either<ChangeVerdict, List<DecodedChange>> decode(ChangeRequest request) {
    List<DecodedChange> decoded = new ArrayList<>();
    for (ObjectChange objectChange : request.getChangesList()) {
      Either<String, DecodedChange> change = DecodedChange.of(objectChange);
      if (change.isLeft()) {
        return Either.left(invalid(change.getLeft()));
      }
      decoded.add(change.get());
    }
    long distinctKeys = decoded.stream().map(DecodedChange::key).distinct().count();
    if (decoded.isEmpty() || distinctKeys != decoded.size()) {
      return Either.left(invalid("expected one or more changes, each of another object"));
    }
    return Either.right(decoded);
  }

  private static ChangeVerdict invalid(String detail) {
    return ChangeVerdict.newBuilder().setVerdict(Verdict.INVALID).setDetail(detail).build();
  }

  /** One change with its object decoded; a null object means removal. */
  private record DecodedChange(ConfigKey key, long expectedRevision, ConfigObject object) {

    static Either<String, DecodedChange> of(ObjectChange change) {
      Optional<ConfigKind> kind = ConfigCodec.findKind(change.getKind());
      if (kind.isEmpty()) {
        return Either.left("kind: found '" + change.getKind() + "', which is none");
      }
      ConfigKey key = new ConfigKey(kind.get(), change.getName());
      if (change.getJson().isEmpty()) {
        return Either.right(new DecodedChange(key, change.getExpectedRevision(), null));
      }
      return ConfigCodec.decode(kind.get(), change.getJson().toByteArray())
          .mapLeft(error -> key + ": " + error)
          .filterOrElse(
              object -> object.name().equals(change.getName()),
              object -> key + ": the object's own name is '" + object.name() + "'")
          .map(object -> new DecodedChange(key, change.getExpectedRevision(), object));
    }

    void applyTo(Map<ConfigKey, VersionedObject> objects, long index) {
      if (object == null) {
        objects.remove(key);
      } else {
        objects.put(key, new VersionedObject(object, index));
      }
    }
  }
}
