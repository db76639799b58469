package org.cuminrack.gateway;

import java.util.Map;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.member.CrashEvidence;
import org.cuminrack.relay.ConnectProbe;
import org.cuminrack.relay.IoContext;
import org.cuminrack.relay.UpstreamProcess;

/**
 * A request that runs on an upstream, as evidence for or against its content and the parts of its
 * prompt. The first of {@link #completed}, {@link #lost} and {@link #abandoned} decides; later
 * calls have no effect. Confined to one I/O thread.
 */
final class SuspectDispatch {
  private final CrashSuspects suspects;
  private final UpstreamProcess target;
  private final RequestKeys keys;
  private final Map<Fingerprint, CrashEvidence> evidence;
  private boolean promptProcessed;
  private boolean decided;

  SuspectDispatch(
      CrashSuspects suspects,
      UpstreamProcess target,
      RequestKeys keys,
      Map<Fingerprint, CrashEvidence> evidence) {
    this.suspects = suspects;
    this.target = target;
    this.keys = keys;
    this.evidence = Map.copyOf(evidence);
  }

  UpstreamProcess target() {
    return target;
  }

  RequestKeys keys() {
    return keys;
  }

  /** Returns the keys that a crash of the upstream would count against now. */
  Map<Fingerprint, CrashEvidence> evidence() {
    return promptProcessed ? Map.of(keys.content(), evidence.get(keys.content())) : evidence;
  }

  /**
   * The upstream has sent output, so it has processed the whole prompt: no part of it is a suspect.
   */
  void outputReceived() {
    if (!decided && !promptProcessed) {
      keys.promptParts().forEach(part -> suspects.ended(target, part));
      keys.promptParts().forEach(suspects::exonerate);
      promptProcessed = true;
    }
  }

  /** The upstream ran the request and answered it: the request is no suspect. */
  void completed() {
    outputReceived();
    if (decide()) {
      suspects.ended(target, keys.content());
      suspects.exonerate(keys.content());
    }
  }

  /** The request was not run, or nothing is known of its end. */
  void abandoned() {
    if (decide()) {
      end();
    }
  }

  /**
   * The connection was lost. Checks whether the upstream has crashed; if so, the crash counts
   * against everything that ran on it.
   *
   * @param onChecked called on the I/O thread once the crash, if any, is counted
   */
  void lost(IoContext io, Runnable onChecked) {
    if (!decide()) {
      onChecked.run();
      return;
    }
    ConnectProbe.start(
        target.address(),
        io,
        processEnded -> {
          if (processEnded) {
            suspects.crashed(this);
          }
          end();
          onChecked.run();
        });
  }

  private void end() {
    evidence().keySet().forEach(key -> suspects.ended(target, key));
  }

  private boolean decide() {
    boolean first = !decided;
    decided = true;
    return first;
  }
}
