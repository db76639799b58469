package org.cuminrack.operator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.Configuration;
import org.cuminrack.config.VersionedObject;

/** What separates the configuration in force from the one an operator wants. */
public final class ConfigurationDiff {

  private ConfigurationDiff() {}

  /**
   * Returns the changes that lead from one to the other, ordered by kind and name.
   *
   * @param prune whether objects that are not wanted are removed
   */
  public static List<ObjectChange> between(
      Configuration present, Collection<ConfigObject> wanted, boolean prune) {
    List<ObjectChange> changes = new ArrayList<>();
    Set<ConfigKey> wantedKeys = new HashSet<>();
    for (ConfigObject each : wanted) {
      wantedKeys.add(each.key());
      VersionedObject found = present.find(each.key()).orElse(null);
      if (found == null || !found.object().equals(each)) {
        changes.add(ObjectChange.put(each, found == null ? 0 : found.revision()));
      }
    }
    if (prune) {
      present.objects().stream()
          .filter(each -> !wantedKeys.contains(each.object().key()))
          .forEach(each -> changes.add(ObjectChange.remove(each.object().key(), each.revision())));
    }
    return changes;
  }

  /** Returns one line a change: {@code +} creates, {@code ~} replaces, {@code -} removes. */
  public static List<String> lines(List<ObjectChange> changes) {
    return changes.stream().map(ConfigurationDiff::line).toList();
  }

  private static String line(ObjectChange change) {
    if (change.object() == null) {
      return "- " + change.key() + " (revision " + change.expectedRevision() + ")";
    }
    if (change.expectedRevision() == 0) {
      return "+ " + change.key() + " " + change.object();
    }
    return "~ " + change.key() + " (revision " + change.expectedRevision() + ") " + change.object();
  }
}
