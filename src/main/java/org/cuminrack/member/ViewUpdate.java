package org.cuminrack.member;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.Configuration;
import org.cuminrack.config.VersionedObject;
import org.cuminrack.control.ConfigCodec;
import org.cuminrack.generated.control.ConfigObjectData;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.MemberData;
import org.cuminrack.generated.control.SuspectData;

/** Computes the next view from the current one and a fetch reply. */
final class ViewUpdate {
  private static final Comparator<EntryMember> BY_NAME =
      Comparator.comparing(EntryMember::name).thenComparing(EntryMember::sessionId);

  private ViewUpdate() {}

  /**
   * Returns the next view; empty if the reply is not newer than the current view, or is a delta
   * from a later base. A delta from an earlier base is applied too, since changes carry full
   * current values.
   */
  static Optional<ClusterView> apply(ClusterView view, FetchReply reply) {
    boolean isNewer = reply.getRevision() > view.revision();
    boolean isApplicable = reply.getWhole() || reply.getBaseRevision() <= view.revision();
    if (!isNewer || !isApplicable) {
      return Optional.empty();
    }
    ClusterView base = reply.getWhole() ? ClusterView.empty() : view;
    return Optional.of(
        new ClusterView(
            reply.getRevision(),
            reply.getEpoch(),
            configuration(base.configuration(), reply),
            members(base.members(), reply),
            suspects(base.suspects(), reply)));
  }

  private static Configuration configuration(Configuration base, FetchReply reply) {
    Map<ConfigKey, VersionedObject> objects = new TreeMap<>();
    base.objects().forEach(object -> objects.put(object.object().key(), object));
    for (ConfigObjectData data : reply.getObjectsList()) {
      if (data.getRevision() == 0) {
        objects.remove(ConfigCodec.key(data));
      } else {
        objects.put(ConfigCodec.key(data), ConfigCodec.toVersionedObject(data));
      }
    }
    return Configuration.of(reply.getRevision(), objects.values());
  }

  private static List<EntryMember> members(List<EntryMember> base, FetchReply reply) {
    Map<Long, EntryMember> members = new HashMap<>();
    base.forEach(member -> members.put(member.sessionId(), member));
    reply.getEndedSessionsList().forEach(members::remove);
    reply.getMembersList().forEach(data -> members.put(data.getSessionId(), member(data)));
    return members.values().stream().sorted(BY_NAME).toList();
  }

  private static EntryMember member(MemberData data) {
    return new EntryMember(
        data.getName(),
        data.getSessionId(),
        data.getDataCentre(),
        data.getHttpAddress(),
        data.getWireAddress(),
        data.getStopping());
  }

  private static Map<String, Integer> suspects(Map<String, Integer> base, FetchReply reply) {
    Map<String, Integer> suspects = new HashMap<>(base);
    for (SuspectData suspect : reply.getSuspectsList()) {
      if (suspect.getCrashes() == 0) {
        suspects.remove(suspect.getFingerprint());
      } else {
        suspects.put(suspect.getFingerprint(), suspect.getCrashes());
      }
    }
    return Map.copyOf(suspects);
  }
}
