package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.rollout.RolloutStage;
import org.cuminrack.rollout.VersionRollout;
import org.junit.jupiter.api.Test;

class VersionSplitTest {
  private static final long ENDED_MILLIS = 1_000;

  private final Map<String, VersionRollout> rollouts = new HashMap<>();
  private final VersionSplit split = split(1);
  private final Candidate former = candidate("f-1", "v1", 500);
  private final Candidate next = candidate("n-1", "v2", 700);
  private final Candidate secondNext = candidate("n-2", "v2", 700);

  @Test
  void shouldUseAllVersionsAlikeWithoutAnOrder() {
    assertThat(split.inOrder(List.of(former, next))).containsExactly(List.of(former, next));
    assertThat(split.isExcluded(former.upstream())).isFalse();
  }

  @Test
  void shouldGiveTheNewVersionItsShareOverManyGateways() {
    roll(RolloutStage.TRIAL, 0.1, 0);
    List<VersionSplit> gateways = new ArrayList<>();
    for (int seed = 0; seed < 66; seed++) {
      gateways.add(split(seed));
    }

    int sentToNew = 0;
    for (int request = 0; request < 660; request++) {
      sentToNew += send(gateways.get(request % 66)) ? 1 : 0;
    }

    assertThat(sentToNew).isAtLeast(46);
    assertThat(sentToNew).isAtMost(86);
  }

  @Test
  void shouldNotRaiseTheShareOfRequestsThatWait() {
    roll(RolloutStage.TRIAL, 0.001, 0);

    for (int attempt = 0; attempt < 10_000; attempt++) {
      assertThat(split.inOrder(List.of(former, next))).containsExactly(List.of(former));
    }
  }

  @Test
  void shouldLoadTheSameFewUpstreamsFromAllGateways() {
    roll(RolloutStage.LOAD, 1, 1);

    assertThat(split.inOrder(List.of(secondNext, former, next)))
        .containsExactly(List.of(next), List.of(former))
        .inOrder();
  }

  @Test
  void shouldMoveGenerationsOffTheFormerVersionOnceAllRequestsGoToTheNewOne() {
    roll(RolloutStage.GROWTH, 0.5, 0);
    assertThat(split.forMemoryCopies(List.of(former, next))).containsExactly(former);
    assertThat(split.isLeaving(former.upstream())).isFalse();

    roll(RolloutStage.FULL, 1, 0);

    assertThat(split.inOrder(List.of(former, next)))
        .containsExactly(List.of(next), List.of(former))
        .inOrder();
    assertThat(split.forMemoryCopies(List.of(former, next))).containsExactly(next);
    assertThat(split.isLeaving(former.upstream())).isTrue();
    assertThat(split.isLeaving(next.upstream())).isFalse();
  }

  @Test
  void shouldExcludeTheFormerVersionOnceDoneUnlessItIsStartedAgain() {
    roll(RolloutStage.DONE, 1, 0);

    assertThat(split.isExcluded(former.upstream())).isTrue();
    assertThat(split.isExcluded(next.upstream())).isFalse();
    assertThat(split.isExcluded(candidate("f-2", "v1", ENDED_MILLIS + 1).upstream())).isFalse();
    assertThat(split.isExcluded(candidate("x-1", "v3", 500).upstream())).isFalse();
  }

  @Test
  void shouldExcludeTheNewVersionForGoodOnceRolledBack() {
    roll(RolloutStage.ROLLED_BACK, 0, 0);

    assertThat(split.isExcluded(next.upstream())).isTrue();
    assertThat(split.isExcluded(candidate("n-3", "v2", ENDED_MILLIS + 1).upstream())).isTrue();
    assertThat(split.isExcluded(former.upstream())).isFalse();
  }

  private boolean send(VersionSplit gateway) {
    UpstreamRecord chosen = gateway.inOrder(List.of(former, next)).get(0).get(0).upstream();
    gateway.recordChoice(chosen);
    return chosen.version().equals("v2");
  }

  private VersionSplit split(long seed) {
    return new VersionSplit(() -> rollouts, new Random(seed));
  }

  private void roll(RolloutStage stage, double share, int upstreams) {
    rollouts.put(
        "shop",
        new VersionRollout(
            7,
            "shop",
            "v2",
            Set.of("v1"),
            12_000,
            0,
            stage,
            share,
            upstreams,
            stage.isRunning() ? 0 : ENDED_MILLIS,
            ""));
  }

  private static Candidate candidate(String id, String version, long startedMillis) {
    UpstreamRecord upstream =
        new UpstreamRecord(
            id,
            "shop",
            "10.0.0.1:80",
            "dc-a",
            6,
            UpstreamPhase.READY,
            startedMillis,
            1,
            0,
            0,
            version);
    return new Candidate(upstream, UpstreamLoad.NONE, false, 0, 0);
  }
}
