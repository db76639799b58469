package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import java.util.Set;
import org.cuminrack.generated.fleet.WatchAnswer;
import org.cuminrack.log.LogEvent;

/** The state of a gateway's long poll to one control VM. */
final class ControlPoll {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  final String address;
  volatile long controlBootId;
  volatile long lastUpstreamChange;
  volatile boolean answered;
  volatile boolean stateCurrent;
  volatile long lastResponseNanos;
  volatile NamedVoters namedVoters = NamedVoters.NONE;

  ControlPoll(String address, long nowNanos) {
    this.address = address;
    this.lastResponseNanos = nowNanos;
  }

  void recordResponse(WatchAnswer response, long nowNanos) {
    if (!answered) {
      logger.atInfo().log("%s", LogEvent.named("control-found").with("control", address));
    }
    controlBootId = response.getControlBoot();
    lastUpstreamChange = response.getUpstreamChange();
    answered = true;
    lastResponseNanos = nowNanos;
    namedVoters =
        new NamedVoters(response.getVotersIndex(), Set.copyOf(response.getControlAddressesList()));
    if (response.getStateCurrent()) {
      stateCurrent = true;
    }
  }
}
