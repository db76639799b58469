package org.cuminrack.quorum;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminrack.quorum.internal.CoreView;

/** Converts a {@link CoreView} to the status shown in the diagnostic dump. */
final class StatusConverter {

  private StatusConverter() {}

  static QuorumStatus toStatus(
      CoreView view, String corruption, String failure, Optional<DiskRefusal> refusal) {
    return new QuorumStatus(
        view.self().toString(),
        view.role().name().toLowerCase(Locale.ROOT).replace('_', '-'),
        view.term(),
        view.leader(),
        view.lastIndex(),
        view.syncedIndex(),
        view.commitIndex(),
        view.appliedIndex(),
        view.snapshotIndex(),
        view.voters() == null ? Map.of() : incarnationTexts(view.voters().incarnations()),
        view.voters() == null ? Map.of() : incarnationTexts(view.voters().previous()),
        view.voters() == null ? Map.of() : view.voters().dataCentres(),
        view.votersIndex(),
        view.learners(),
        view.voters() != null && !view.votersAreSettled(),
        view.diskFull() || refusal.isPresent(),
        refusal.map(each -> each.since().toString()).orElse(""),
        refusal.map(each -> each.write() + ": " + each.detail()).orElse(""),
        corruption,
        failure);
  }

  private static Map<String, String> incarnationTexts(Map<String, Long> incarnations) {
    Map<String, String> texts = new TreeMap<>();
    incarnations.forEach((vmName, incarnation) -> texts.put(vmName, Long.toHexString(incarnation)));
    return texts;
  }
}
