package org.cuminrack.control;

import com.google.protobuf.ByteString;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.generated.control.ChangeRequest;
import org.cuminrack.generated.control.ChangeVerdict;
import org.cuminrack.generated.control.ObjectChange;
import org.cuminrack.generated.control.Verdict;
import org.cuminrack.generated.control.VerdictData;

/** Verdicts of recent changes by change id, so that a resend gets the original verdict. */
final class ChangeVerdicts {
  /** The most verdicts kept; the oldest are evicted first. */
  static final int MAX_VERDICTS = 20_000;

  private final Map<String, VerdictData> byChangeId = new LinkedHashMap<>();

  /**
   * Returns the verdict recorded for this change id, or {@code CHANGE_ID_REUSED} if the content
   * differs.
   */
  Optional<ChangeVerdict> find(ChangeRequest request) {
    VerdictData existing = byChangeId.get(request.getChangeId());
    if (existing == null) {
      return Optional.empty();
    }
    if (existing.getContentSha256().equals(sha256(request))) {
      return Optional.of(existing.getVerdict());
    }
    return Optional.of(
        ChangeVerdict.newBuilder()
            .setVerdict(Verdict.CHANGE_ID_REUSED)
            .setDetail("change id " + request.getChangeId() + " was used for another change")
            .build());
  }

  /** Records the verdict of a change and evicts the oldest one beyond the limit. */
  void put(ChangeRequest request, ChangeVerdict verdict) {
    put(
        VerdictData.newBuilder()
            .setChangeId(request.getChangeId())
            .setContentSha256(sha256(request))
            .setVerdict(verdict)
            .build());
    if (byChangeId.size() > MAX_VERDICTS) {
      Iterator<String> oldest = byChangeId.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns all verdicts, oldest first. */
  Collection<VerdictData> all() {
    return byChangeId.values();
  }

  /** Replaces all verdicts with those of a snapshot. */
  void restore(List<VerdictData> verdicts) {
    byChangeId.clear();
    verdicts.forEach(this::put);
  }

  private void put(VerdictData verdict) {
    byChangeId.put(verdict.getChangeId(), verdict);
  }

  private static ByteString sha256(ChangeRequest request) {
    MessageDigest digest = digest();
    for (ObjectChange change : request.getChangesList()) {
      digest.update(change.toByteArray());
      digest.update((byte) 0);
    }
    return ByteString.copyFrom(digest.digest());
  }

  private static MessageDigest digest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
    }
  }
}
