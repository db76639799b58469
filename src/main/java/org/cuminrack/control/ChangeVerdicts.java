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

/** The verdicts of the newest changes by change id, so that a resend gets the first one. */
final class ChangeVerdicts {
  /** How many verdicts are kept; the oldest go first. */
  static final int MAX_VERDICTS = 20_000;

  private final Map<String, VerdictData> byChangeId = new LinkedHashMap<>();

  /** Returns the first verdict of this change id, or that it was used with other content. */
  Optional<ChangeVerdict> find(ChangeRequest request) {
    VerdictData known = byChangeId.get(request.getChangeId());
    if (known == null) {
      return Optional.empty();
    }
    if (known.getContentSha256().equals(sha256(request))) {
      return Optional.of(known.getVerdict());
    }
    return Optional.of(
        ChangeVerdict.newBuilder()
            .setVerdict(Verdict.CHANGE_ID_REUSED)
            .setDetail("change id " + request.getChangeId() + " was used for another change")
            .build());
  }

  /** Keeps the verdict of a change. */
  void keep(ChangeRequest request, ChangeVerdict verdict) {
    keep(
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

  /** Returns every verdict, the oldest first. */
  Collection<VerdictData> all() {
    return byChangeId.values();
  }

  /** Replaces every verdict. */
  void restore(List<VerdictData> verdicts) {
    byChangeId.clear();
    verdicts.forEach(this::keep);
  }

  private void keep(VerdictData verdict) {
    byChangeId.put(verdict.getChangeId(), verdict);
  }

  private static ByteString sha256(ChangeRequest request) {
    MessageDigest digest = digest();
    for (ObjectChange each : request.getChangesList()) {
      digest.update(each.toByteArray());
      digest.update((byte) 0);
    }
    return ByteString.copyFrom(digest.digest());
  }

  private static MessageDigest digest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
