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

/** Computes the changes from the current configuration to the desired objects. */
public final class ConfigurationDiff {

  private ConfigurationDiff() {}

  /**
   * Returns the changes that turn the current configuration into the desired one: first creations
   * and replacements in the order of the desired objects, then removals.
   *
   * @param prune whether to remove objects that are not among the desired ones
   */
  public static List<ObjectChange> between(
      Configuration current, Collection<ConfigObject> desired, boolean prune) {
    List<ObjectChange> changes = new ArrayList<>();
    Set<ConfigKey> desiredKeys = new HashSet<>();
    for (ConfigObject each : desired) {
      desiredKeys.add(each.key());
      VersionedObject existing = current.find(each.key()).orElse(null);
      if (existing == null || !existing.object().equals(each)) {
        changes.add(ObjectChange.put(each, existing == null ? 0 : existing.revision()));
      }
    }
    if (prune) {
      current.objects().stream()
          .filter(each -> !desiredKeys.contains(each.object().key()))
          .forEach(each -> changes.add(ObjectChange.remove(each.object().key(), each.revision())));
    }
    return changes;
  }

  /** Formats one line per change: {@code +} creates, {@code ~} replaces, {@code -} removes. */
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
