package org.cuminrack.control;

import com.google.protobuf.ByteString;
import java.util.TreeSet;
import org.cuminrack.generated.control.PutRouting;
import org.cuminrack.generated.control.PutRoutingResult;
import org.cuminrack.generated.control.RevisionResult;
import org.cuminrack.generated.control.RoutingData;
import org.cuminrack.generated.control.RoutingVerdict;
import org.cuminrack.generated.control.SetEvacuation;
import org.cuminrack.generated.rollout.AdvanceRollout;
import org.cuminrack.generated.rollout.StartResult;
import org.cuminrack.generated.rollout.StartRollout;
import org.cuminrack.generated.rollout.StartVerdictData;

/** The current routing document, the evacuated data centres and roll-outs. Not thread-safe. */
final class RoutingState {
  private final TreeSet<String> evacuated = new TreeSet<>();
  private final RolloutState rollouts = new RolloutState();

  /** Log index of the last change. */
  private long revision;

  /** The document's version, set by the operator. */
  private long version;

  private ByteString document = ByteString.EMPTY;

  /** Stores a document if there is none or its version is higher than the current one. */
  PutRoutingResult put(long index, PutRouting command) {
    RoutingVerdict verdict = verdict(command);
    if (verdict == RoutingVerdict.ROUTING_STORED) {
      version = command.getVersion();
      document = command.getDocument();
      revision = index;
    }
    return PutRoutingResult.newBuilder().setVerdict(verdict).setVersion(version).build();
  }

  private RoutingVerdict verdict(PutRouting command) {
    if (document.isEmpty() || command.getVersion() > version) {
      return RoutingVerdict.ROUTING_STORED;
    }
    if (command.getVersion() < version) {
      return RoutingVerdict.ROUTING_SUPERSEDED;
    }
    return command.getDocument().equals(document)
        ? RoutingVerdict.ROUTING_UNCHANGED
        : RoutingVerdict.ROUTING_CONFLICT;
  }

  /** Begins or ends an evacuation; idempotent. */
  void setEvacuation(long index, SetEvacuation command) {
    String dataCentre = command.getDataCentre();
    boolean changed =
        command.getEvacuated() ? evacuated.add(dataCentre) : evacuated.remove(dataCentre);
    if (changed) {
      revision = index;
    }
  }

  /** Starts a roll-out, if the service has none that is running. */
  StartResult startRollout(long index, StartRollout order, long nowMillis) {
    StartResult result = rollouts.start(index, order, nowMillis);
    if (result.getVerdict() == StartVerdictData.START_ACCEPTED) {
      revision = index;
    }
    return result;
  }

  /** Sets the stage of a roll-out. */
  RevisionResult advanceRollout(long index, AdvanceRollout step) {
    if (rollouts.advance(step)) {
      revision = index;
    }
    return RevisionResult.newBuilder().setRevision(index).build();
  }

  /** Returns the log index of the last change. */
  long revision() {
    return revision;
  }

  RoutingData data() {
    return RoutingData.newBuilder()
        .setRevision(revision)
        .setVersion(version)
        .setDocument(document)
        .addAllEvacuated(evacuated)
        .addAllRollouts(rollouts.all())
        .build();
  }

  void restore(RoutingData data) {
    revision = data.getRevision();
    version = data.getVersion();
    document = data.getDocument();
    evacuated.clear();
    evacuated.addAll(data.getEvacuatedList());
    rollouts.restore(data.getRolloutsList());
  }
}
