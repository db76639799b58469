package org.cuminrack.rollout;

import java.util.Set;

/**
 * The last roll-out of a service.
 *
 * @param id the log index of the order
 * @param to the new version
 * @param from the versions in use at the time of the order, without the new one
 * @param durationMillis the time from the order to the deadline
 * @param orderedMillis the replicated time of the order
 * @param share the share of the requests that go to the new version while the roll-out runs, from 0
 *     to 1
 * @param upstreams how many upstreams of the new version get them; 0 for all
 * @param endedWallMillis the leader's wall-clock time of the end; 0 while the roll-out runs
 * @param reason why the roll-out was rolled back; empty if it was not
 */
public record VersionRollout(
    long id,
    String service,
    String to,
    Set<String> from,
    long durationMillis,
    long orderedMillis,
    RolloutStage stage,
    double share,
    int upstreams,
    long endedWallMillis,
    String reason) {

  public VersionRollout {
    from = Set.copyOf(from);
  }

  /** Returns this roll-out after a step at a wall-clock time. */
  public VersionRollout after(RolloutStep step, long wallMillis) {
    return new VersionRollout(
        id,
        service,
        to,
        from,
        durationMillis,
        orderedMillis,
        step.stage(),
        step.share(),
        step.upstreams(),
        step.stage().isRunning() ? 0 : wallMillis,
        step.reason());
  }

  /** Returns whether a version is the new one. */
  public boolean isNew(String version) {
    return version.equals(to);
  }

  /**
   * Returns whether an upstream gets no requests: of the new version after a roll-back, of a former
   * one after the end. A former version that is started again later is used, since nobody but an
   * operator starts it.
   *
   * @param startedMillis the wall-clock time of the upstream's start
   */
  public boolean excludes(String version, long startedMillis) {
    return switch (stage) {
      case DONE -> from.contains(version) && startedMillis < endedWallMillis;
      case ROLLED_BACK -> isNew(version);
      default -> false;
    };
  }

  /** Returns whether the generations of an upstream should be moved to another one. */
  public boolean isLeaving(String version, long startedMillis) {
    return stage == RolloutStage.FULL ? !isNew(version) : excludes(version, startedMillis);
  }
}
