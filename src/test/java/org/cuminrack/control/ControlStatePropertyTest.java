package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.MemberData;

class ControlStatePropertyTest {

  @Property(tries = 200, seed = "20260131")
  void shouldProduceIdenticalResultsOnEveryReplica(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 200) int commandCount) {
    ControlState firstReplica = new ControlState();
    ControlState secondReplica = new ControlState();
    CommandGenerator generator = new CommandGenerator(seed);
    for (int index = 1; index <= commandCount; index++) {
      byte[] command = generator.next();

      assertThat(firstReplica.apply(index, command)).isEqualTo(secondReplica.apply(index, command));
    }
    assertThat(firstReplica.snapshot()).isEqualTo(secondReplica.snapshot());
  }

  @Property(tries = 200, seed = "20260131")
  void shouldBehaveIdenticallyAfterRestoreFromSnapshot(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 100) int countBefore,
      @ForAll @IntRange(min = 1, max = 100) int countAfter) {
    CommandGenerator generator = new CommandGenerator(seed);
    ControlState original = new ControlState();
    for (int index = 1; index <= countBefore; index++) {
      original.apply(index, generator.next());
    }
    ControlState restored = new ControlState();
    restored.restore(countBefore, original.snapshot());
    assertThat(restored.snapshot()).isEqualTo(original.snapshot());

    for (int index = countBefore + 1; index <= countBefore + countAfter; index++) {
      byte[] command = generator.next();
      assertThat(restored.apply(index, command)).isEqualTo(original.apply(index, command));
    }
    assertThat(restored.snapshot()).isEqualTo(original.snapshot());
  }

  @Property(tries = 200, seed = "20260131")
  void shouldRebuildTheFullStateFromDeltas(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 200) int commandCount) {
    CommandGenerator generator = new CommandGenerator(seed);
    ControlState state = new ControlState();
    Reader deltaReader = new Reader();
    for (int index = 1; index <= commandCount; index++) {
      state.apply(index, generator.next());
      if (index % 7 == 0 || index == commandCount) {
        deltaReader.apply(state.changesAfter(deltaReader.revision));
      }
    }
    Reader fullReader = new Reader();
    fullReader.apply(state.changesAfter(0));

    assertThat(deltaReader.objects).isEqualTo(fullReader.objects);
    assertThat(deltaReader.members).isEqualTo(fullReader.members);
    assertThat(deltaReader.suspects).isEqualTo(fullReader.suspects);
  }

  /** A minimal reader that applies fetch replies to maps. */
  private static final class Reader {
    private final TreeMap<String, Object> objects = new TreeMap<>();
    private final TreeMap<Long, MemberData> members = new TreeMap<>();
    private final TreeMap<String, Integer> suspects = new TreeMap<>();
    private long revision;

    void apply(FetchReply reply) {
      revision = reply.getRevision();
      reply
          .getObjectsList()
          .forEach(
              object ->
                  Optional.of(object)
                      .filter(present -> present.getRevision() != 0)
                      .ifPresentOrElse(
                          present -> objects.put(object.getKind() + object.getName(), present),
                          () -> objects.remove(object.getKind() + object.getName())));
      reply.getEndedSessionsList().forEach(members::remove);
      reply.getMembersList().forEach(member -> members.put(member.getSessionId(), member));
      reply
          .getSuspectsList()
          .forEach(suspect -> suspects.put(suspect.getFingerprint(), suspect.getCrashes()));
      suspects.values().removeIf(crashes -> crashes == 0);
    }
  }
}
