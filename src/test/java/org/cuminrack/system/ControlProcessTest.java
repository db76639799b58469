package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.Configuration;
import org.cuminrack.config.Upstream;
import org.cuminrack.operator.ChangeReply;
import org.cuminrack.operator.ObjectChange;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
class ControlProcessTest {
  private static final int CHANGE_COUNT = 500;

  @TempDir Path folder;

  @Test
  void shouldKeepEveryAcceptedChangeWhileEachControlProcessIsKilledInTurn() throws Exception {
    try (TestCluster cluster = TestCluster.in(folder).withControlProcesses(3).start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      List<Long> revisions = new ArrayList<>();
      for (int i = 0; i < 300; i++) {
        if (i % 100 == 50) {
          cluster.process(cluster.controlNames().get(i / 100)).kill();
        }
        if (i % 100 == 90) {
          cluster.restart(cluster.controlNames().get(i / 100));
        }
        revisions.add(operator.submit(List.of(new Upstream("engine-" + i, true))));
      }

      assertThat(revisions).isInStrictOrder();
      assertThat(upstreamNames(operator.client().configuration().get())).hasSize(300);
    }
  }

  @Test
  void shouldKeepEveryChangeAndReplyAcrossARestartOfAllProcesses() throws Exception {
    try (TestCluster cluster = TestCluster.in(folder).withControlProcesses(3).start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      List<ChangeReply> replies = new ArrayList<>();
      for (int i = 0; i < CHANGE_COUNT; i++) {
        replies.add(operator.client().change(changeId(i), retire(i)));
      }
      Configuration before = operator.client().configuration().get();
      restartAll(cluster);

      assertThat(operator.client().configuration().get().objects()).isEqualTo(before.objects());
      for (int i = 0; i < CHANGE_COUNT; i++) {
        assertThat(operator.client().change(changeId(i), retire(i))).isEqualTo(replies.get(i));
      }
      assertThat(operator.client().configuration().get().objects()).isEqualTo(before.objects());
    }
  }

  @Test
  void shouldAcceptExactlyOneOfTwoConcurrentChangesAtTheSameRevision() throws Exception {
    try (TestCluster cluster = TestCluster.in(folder).withControlProcesses(3).start();
        Operator first = new Operator(cluster.controlAddresses());
        Operator second = new Operator(cluster.controlAddresses().subList(1, 3))) {
      for (int i = 0; i < 50; i++) {
        List<ObjectChange> changes = retire(i);
        CompletableFuture<ChangeReply> secondReply =
            CompletableFuture.supplyAsync(() -> change(second, changes));
        List<ChangeReply> replies = List.of(change(first, changes), secondReply.join());

        assertThat(replies.stream().filter(ChangeReply.Accepted.class::isInstance).count())
            .isEqualTo(1);
        assertThat(replies.stream().filter(ChangeReply.Conflict.class::isInstance).count())
            .isEqualTo(1);
      }
    }
  }

  @Test
  void shouldReturnTheOriginalReplyWhenAChangeIsResentThroughAnyControlProcess() throws Exception {
    try (TestCluster cluster = TestCluster.in(folder).withControlProcesses(3).start();
        Operator operator = new Operator(cluster.controlAddresses())) {
      ChangeReply reply = operator.client().change(changeId(1), retire(1));

      for (String address : cluster.controlAddresses()) {
        try (Operator resender = new Operator(List.of(address))) {
          assertThat(resender.client().change(changeId(1), retire(1))).isEqualTo(reply);
        }
      }
    }
  }

  private static void restartAll(TestCluster cluster) throws Exception {
    for (String name : cluster.controlNames()) {
      cluster.process(name).kill();
    }
    for (String name : cluster.controlNames()) {
      cluster.restart(name);
    }
  }

  private static String changeId(int number) {
    return "change-" + number;
  }

  private static List<ObjectChange> retire(int number) {
    return List.of(ObjectChange.put(new Upstream("engine-" + number, true), 0));
  }

  private static ChangeReply change(Operator operator, List<ObjectChange> changes) {
    return operator.client().change(UUID.randomUUID().toString(), changes);
  }

  private static Set<String> upstreamNames(Configuration configuration) {
    return configuration.objects().stream()
        .map(each -> each.object())
        .filter(each -> each.kind() == ConfigKind.UPSTREAM)
        .map(ConfigObject::name)
        .collect(Collectors.toSet());
  }
}
