package org.cuminrack.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminrack.generated.control.MemberData;
import org.cuminrack.generated.control.OpenSessionRequest;
import org.cuminrack.generated.control.SessionData;

/** The open sessions of entries, by session id. Not thread-safe. */
final class SessionState {
  private final Map<Long, SessionData> sessions = new TreeMap<>();
  private final Map<String, Long> idsByToken = new HashMap<>();
  private List<MemberData> members;

  /** Returns the id of the open session that was opened with this token. */
  Optional<Long> findByToken(String token) {
    return Optional.ofNullable(idsByToken.get(token));
  }

  /** Opens a session whose id is the log index. */
  void open(long index, OpenSessionRequest request) {
    MemberData member =
        MemberData.newBuilder()
            .setName(request.getName())
            .setSessionId(index)
            .setDataCentre(request.getDataCentre())
            .setHttpAddress(request.getHttpAddress())
            .setWireAddress(request.getWireAddress())
            .build();
    put(SessionData.newBuilder().setMember(member).setToken(request.getToken()).build());
  }

  /** Ends a session; returns false if it is not open. */
  boolean end(long sessionId) {
    SessionData ended = sessions.remove(sessionId);
    if (ended == null) {
      return false;
    }
    idsByToken.remove(ended.getToken());
    members = null;
    return true;
  }

  /**
   * Marks a session's entry as stopping; returns false if it already is or the session is not open.
   */
  boolean markStopping(long sessionId) {
    SessionData session = sessions.get(sessionId);
    if (session == null || session.getMember().getStopping()) {
      return false;
    }
    MemberData stopping = session.getMember().toBuilder().setStopping(true).build();
    put(session.toBuilder().setMember(stopping).build());
    return true;
  }

  boolean isOpen(long sessionId) {
    return sessions.containsKey(sessionId);
  }

  Optional<MemberData> find(long sessionId) {
    return Optional.ofNullable(sessions.get(sessionId)).map(SessionData::getMember);
  }

  /** Returns the members of all open sessions, ordered by session id. */
  List<MemberData> members() {
    if (members == null) {
      members = sessions.values().stream().map(SessionData::getMember).toList();
    }
    return members;
  }

  /** Returns all open sessions, ordered by id. */
  Collection<SessionData> all() {
    return sessions.values();
  }

  /** Replaces all sessions with those of a snapshot. */
  void restore(List<SessionData> restored) {
    sessions.clear();
    idsByToken.clear();
    members = null;
    restored.forEach(this::put);
  }

  private void put(SessionData session) {
    sessions.put(session.getMember().getSessionId(), session);
    idsByToken.put(session.getToken(), session.getMember().getSessionId());
    members = null;
  }
}
