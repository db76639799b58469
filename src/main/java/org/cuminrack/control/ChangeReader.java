package org.cuminrack.control;

import java.util.Optional;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.MemberData;
import org.cuminrack.generated.control.SuspectData;

/** Puts together what a reader of the state has not seen yet. */
final class ChangeReader {
  private final StateTables tables;
  private final StateHistory history;

  ChangeReader(StateTables tables, StateHistory history) {
    this.tables = tables;
    this.history = history;
  }

  /** Adds what changed after a revision, or the whole state where that is not known. */
  FetchReply read(long after, FetchReply.Builder reply) {
    Optional<StateHistory.Changes> changes =
        after == 0 || after > reply.getRevision() ? Optional.empty() : history.after(after);
    if (changes.isEmpty()) {
      return whole(reply);
    }
    reply.setBaseRevision(after);
    changes.get().keys().forEach(each -> reply.addObjects(tables.config.data(each)));
    changes.get().fingerprints().forEach(each -> reply.addSuspects(suspect(each)));
    for (long sessionId : changes.get().sessions()) {
      Optional<MemberData> member = tables.sessions.find(sessionId);
      member.ifPresentOrElse(reply::addMembers, () -> reply.addEndedSessions(sessionId));
    }
    return reply.build();
  }

  private FetchReply whole(FetchReply.Builder reply) {
    reply.setWhole(true);
    tables.config.objects().forEach(each -> reply.addObjects(ConfigCodec.data(each)));
    tables.sessions.all().forEach(each -> reply.addMembers(each.getMember()));
    tables.suspects.all().forEach(each -> reply.addSuspects(suspect(each.getFingerprint())));
    return reply.build();
  }

  private SuspectData suspect(String fingerprint) {
    return SuspectData.newBuilder()
        .setFingerprint(fingerprint)
        .setCrashes(tables.suspects.crashes(fingerprint))
        .build();
  }
}
