package org.cuminrack.control;

import java.util.Optional;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.MemberData;
import org.cuminrack.generated.control.SuspectData;

/** Builds the delta between a reader's revision and the current state. */
final class ChangeReader {
  private final StateTables tables;
  private final StateHistory history;

  ChangeReader(StateTables tables, StateHistory history) {
    this.tables = tables;
    this.history = history;
  }

  /**
   * Adds the changes after a revision, or the full state if the history does not reach back so far.
   */
  FetchReply read(long afterRevision, FetchReply.Builder reply) {
    Optional<StateHistory.Changes> changes =
        afterRevision == 0 || afterRevision > reply.getRevision()
            ? Optional.empty()
            : history.changesAfter(afterRevision);
    if (changes.isEmpty()) {
      return fullState(reply);
    }
    reply.setBaseRevision(afterRevision);
    changes.get().keys().forEach(key -> reply.addObjects(tables.config.data(key)));
    changes
        .get()
        .fingerprints()
        .forEach(fingerprint -> reply.addSuspects(suspectData(fingerprint)));
    for (long sessionId : changes.get().sessions()) {
      Optional<MemberData> member = tables.sessions.find(sessionId);
      member.ifPresentOrElse(reply::addMembers, () -> reply.addEndedSessions(sessionId));
    }
    return reply.build();
  }

  private FetchReply fullState(FetchReply.Builder reply) {
    reply.setWhole(true);
    tables.config.objects().forEach(object -> reply.addObjects(ConfigCodec.toData(object)));
    tables.sessions.all().forEach(session -> reply.addMembers(session.getMember()));
    tables
        .suspects
        .all()
        .forEach(suspicion -> reply.addSuspects(suspectData(suspicion.getFingerprint())));
    return reply.build();
  }

  private SuspectData suspectData(String fingerprint) {
    return SuspectData.newBuilder()
        .setFingerprint(fingerprint)
        .setCrashes(tables.suspects.crashes(fingerprint))
        .addAllCompanions(tables.suspects.companions(fingerprint))
        .addAllCrashed(tables.suspects.crashed(fingerprint))
        .build();
  }
}
