package org.cuminrack.storage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminrack.quorum.internal.EntryKind;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.RecoveredState;
import org.cuminrack.quorum.internal.ReplicaId;
import org.cuminrack.quorum.internal.SnapshotImage;
import org.cuminrack.quorum.internal.VoterSet;
import org.cuminrack.storage.FaultyDisk.Operation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A disk refuses each operation of a replica's life in turn. What was acknowledged must be there
 * after a loss of power, whether the process went on or was restarted after the refusal.
 */
class RefusedWriteTest {
  private static final VoterSet VOTERS = VoterSet.of(Map.of("a", 1L));
  private static final ReplicaId OTHER = new ReplicaId("b", 7);
  private static final int MORE_THAN_A_SEGMENT_BYTES = 9 << 20;
  private static final int MAX_OPERATIONS_OF_A_START = 12;

  @TempDir Path folder;

  /** What a process does once the disk has refused an operation. */
  private enum Reaction {
    GO_ON,
    RESTART,
    /** Restarts and loses power within the operations of that start. */
    RESTART_WITHOUT_POWER
  }

  /** Ends an operation that has not begun. */
  private static final class PowerLossException extends RuntimeException {
    private static final long serialVersionUID = 1;
  }

  /** A write that may be repeated until the disk accepts it. */
  private interface Step {
    void run(LogStore store) throws IOException;
  }

  private static final List<Step> LIFE =
      List.of(
          store -> store.saveSnapshot(snapshot(0, 0), true),
          store -> store.saveVote(1, OTHER),
          store -> store.append(List.of(entry(1, 1, 10), entry(2, 1, 10))),
          store -> store.append(List.of(entry(3, 1, MORE_THAN_A_SEGMENT_BYTES))),
          store -> store.append(List.of(entry(4, 1, 10))),
          store -> store.saveVote(2, null),
          store -> store.append(List.of(entry(4, 2, 5), entry(5, 2, 700))),
          store -> store.saveSnapshot(snapshot(3, 1), false),
          store -> store.append(List.of(entry(6, 2, 10))),
          store -> store.saveVote(4, OTHER),
          store -> store.saveSnapshot(snapshot(5, 4), true),
          store -> store.append(List.of(entry(6, 4, 10))),
          store -> store.saveVote(5, null),
          store -> store.append(List.of(entry(7, 5, 10))));

  @ParameterizedTest
  @CsvSource({"1, GO_ON", "1, RESTART", "3, GO_ON", "3, RESTART", "1, RESTART_WITHOUT_POWER"})
  void shouldKeepAllThatWasAcknowledgedWhicheverOperationIsRefused(int times, Reaction reaction)
      throws IOException {
    int refusedAt = 0;
    boolean wasRefused = true;
    while (wasRefused) {
      wasRefused = live(folder.resolve(refusedAt + ""), refusedAt, times, reaction, LIFE.size());
      refusedAt++;
    }
    assertThat(refusedAt).isGreaterThan(60);
  }

  @ParameterizedTest
  @EnumSource
  void shouldKeepWhatWasAcknowledgedAtAnyPointAfterARefusal(Reaction reaction) throws IOException {
    for (int steps = 1; steps < LIFE.size(); steps++) {
      int refusedAt = 0;
      boolean wasRefused = true;
      while (wasRefused) {
        Path lifeFolder = folder.resolve(steps + "-" + refusedAt);
        wasRefused = live(lifeFolder, refusedAt, 1, reaction, steps);
        refusedAt += 1 + steps % 3;
      }
    }
  }

  /**
   * Runs the first steps of a life and checks what is left; returns whether anything was refused.
   */
  private static boolean live(Path folder, int refusedAt, int times, Reaction reaction, int steps)
      throws IOException {
    FaultyDisk disk = new FaultyDisk();
    AtomicInteger operations = new AtomicInteger();
    disk.refuse(
        (operation, path) -> {
          int number = operations.getAndIncrement();
          return number >= refusedAt && number < refusedAt + times;
        });
    Random random = new Random(refusedAt);
    AtomicLong incarnations = new AtomicLong();
    LogStore store = openUntilAccepted(disk, folder, incarnations);
    ReplicaId self = store.recovered().self();
    for (Step step : LIFE.subList(0, steps)) {
      boolean done = false;
      while (!done) {
        try {
          step.run(store);
          done = true;
        } catch (IOException e) {
          if (reaction != Reaction.GO_ON) {
            store.close();
            if (reaction == Reaction.RESTART_WITHOUT_POWER) {
              losePowerAtStart(disk, folder, random);
            }
            store = openUntilAccepted(disk, folder, incarnations);
          }
        }
      }
    }
    store.close();
    disk.losePower(random);
    store = openUntilAccepted(disk, folder, incarnations);
    RecoveredState recovered = store.recovered();
    String where = "refused at " + refusedAt + ", after " + steps + " steps";
    assertWithMessage(where).that(store.corruption().orElse("")).isEmpty();
    assertWithMessage(where).that(recovered.self()).isEqualTo(self);
    assertWithMessage(where).that(describe(recovered)).isEqualTo(expectedAfter(steps));
    store.close();
    delete(folder);
    return operations.get() > refusedAt;
  }

  private static void losePowerAtStart(FaultyDisk disk, Path folder, Random random)
      throws IOException {
    AtomicInteger operationsLeft = new AtomicInteger(random.nextInt(MAX_OPERATIONS_OF_A_START));
    disk.refuse(
        (operation, path) -> {
          if (operationsLeft.getAndDecrement() == 0) {
            throw new PowerLossException();
          }
          return false;
        });
    try {
      LogStore.open(disk, folder, "a", () -> 0).close();
    } catch (PowerLossException e) {
      // As intended. A shorter start completes before the power is lost.
    }
    disk.refuse((operation, path) -> false);
    disk.losePower(random);
  }

  private static LogStore openUntilAccepted(FaultyDisk disk, Path folder, AtomicLong incarnations) {
    while (true) {
      try {
        return LogStore.open(disk, folder, "a", incarnations::incrementAndGet);
      } catch (IOException e) {
        assertThat(e).hasMessageThat().startsWith("refused");
      }
    }
  }

  private static String expectedAfter(int steps) {
    List<String> states =
        List.of(
            "term 0, snapshot 0, entries []",
            "term 1, snapshot 0, entries []",
            "term 1, snapshot 0, entries [1, 1]",
            "term 1, snapshot 0, entries [1, 1, 1]",
            "term 1, snapshot 0, entries [1, 1, 1, 1]",
            "term 2, snapshot 0, entries [1, 1, 1, 1]",
            "term 2, snapshot 0, entries [1, 1, 1, 2, 2]",
            "term 2, snapshot 3, entries [2, 2]",
            "term 2, snapshot 3, entries [2, 2, 2]",
            "term 4, snapshot 3, entries [2, 2, 2]",
            "term 4, snapshot 5, entries []",
            "term 4, snapshot 5, entries [4]",
            "term 5, snapshot 5, entries [4]",
            "term 5, snapshot 5, entries [4, 5]");
    return states.get(steps - 1);
  }

  private static String describe(RecoveredState state) {
    long snapshotIndex = state.snapshot() == null ? -1 : state.snapshot().index();
    List<Long> terms = new ArrayList<>();
    state.entries().forEach(entry -> terms.add(entry.term()));
    return "term " + state.term() + ", snapshot " + snapshotIndex + ", entries " + terms;
  }

  @Test
  void shouldLeaveNothingOfARefusedFrameBehindAShorterOne() throws IOException {
    FaultyDisk disk = new FaultyDisk();
    LogStore store = openUntilAccepted(disk, folder, new AtomicLong());
    store.saveSnapshot(snapshot(0, 0), true);
    store.append(List.of(entry(1, 1, 10)));
    disk.refuse((operation, path) -> operation == Operation.WRITE);
    assertThrows(IOException.class, () -> store.append(List.of(entry(2, 1, 5_000))));
    disk.refuse((operation, path) -> false);

    store.append(List.of(entry(2, 2, 10)));

    store.close();
    RecoveredState recovered = reopen(disk);
    assertThat(describe(recovered)).isEqualTo("term 0, snapshot 0, entries [1, 2]");
  }

  /** Of two deleted files, a loss of power may bring back the older one alone. */
  @Test
  void shouldIgnoreAGapBetweenSegmentsThatTheSnapshotCovers() throws IOException {
    FaultyDisk disk = new FaultyDisk();
    LogStore store = openUntilAccepted(disk, folder, new AtomicLong());
    store.saveSnapshot(snapshot(0, 0), true);
    for (int i = 1; i <= 3; i++) {
      store.append(List.of(entry(i, 1, MORE_THAN_A_SEGMENT_BYTES)));
    }
    Path oldest = folder.resolve(NumberedFiles.name(SegmentedLog.PREFIX, 1));
    byte[] content = Files.readAllBytes(oldest);
    store.saveSnapshot(snapshot(2, 1), false);
    assertThat(Files.exists(oldest)).isFalse();
    store.close();
    Files.write(oldest, content);

    assertThat(describe(reopen(disk))).isEqualTo("term 0, snapshot 2, entries [1]");
  }

  private RecoveredState reopen(Disk disk) throws IOException {
    try (LogStore store = LogStore.open(disk, folder, "a", () -> 2)) {
      assertThat(store.corruption().orElse("")).isEmpty();
      return store.recovered();
    }
  }

  private static void delete(Path folder) throws IOException {
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  private static SnapshotImage snapshot(long index, long term) {
    return new SnapshotImage(index, term, 1, VOTERS, new byte[] {1});
  }

  private static LogEntry entry(long index, long term, int bytes) {
    byte[] data = new byte[bytes];
    Arrays.fill(data, (byte) term);
    return new LogEntry(index, term, EntryKind.COMMAND, data);
  }
}
