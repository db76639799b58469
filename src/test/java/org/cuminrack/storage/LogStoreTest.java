package org.cuminrack.storage;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminrack.quorum.internal.EntryKind;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.RecoveredState;
import org.cuminrack.quorum.internal.ReplicaId;
import org.cuminrack.quorum.internal.SnapshotImage;
import org.cuminrack.quorum.internal.VoterSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LogStoreTest {
  private static final VoterSet VOTERS = VoterSet.of(Map.of("a", 1L));
  private static final ReplicaId OTHER = new ReplicaId("b", 7);
  private static final String FIRST_SEGMENT = "log-00000000000000000001";

  @TempDir Path folder;
  private final FillableDisk disk = new FillableDisk();
  private final AtomicLong incarnations = new AtomicLong();

  @BeforeEach
  void writeTwoFrames() throws IOException {
    try (LogStore store = open()) {
      store.saveSnapshot(new SnapshotImage(0, 0, 1, VOTERS, new byte[0]), true);
      store.saveVote(3, OTHER);
      store.append(List.of(entry(1, 1), entry(2, 1)));
      store.append(List.of(entry(3, 2)));
    }
  }

  @Test
  void shouldRecoverWrittenState() throws IOException {
    RecoveredState recovered = recover();

    assertThat(recovered.self()).isEqualTo(new ReplicaId("a", 1));
    assertThat(recovered.term()).isEqualTo(3);
    assertThat(recovered.votedFor()).isEqualTo(OTHER);
    assertThat(terms(recovered)).containsExactly(1L, 1L, 2L).inOrder();
  }

  @Test
  void shouldReplaceEntriesFromAnIndexOn() throws IOException {
    try (LogStore store = open()) {
      store.append(List.of(entry(2, 4)));
    }

    assertThat(terms(recover())).containsExactly(1L, 4L).inOrder();
  }

  @Test
  void shouldTruncateATornTailAndContinue() throws IOException {
    byte[] bytes = Files.readAllBytes(firstSegment());
    Files.write(firstSegment(), Arrays.copyOf(bytes, bytes.length - 3));

    assertThat(terms(recover())).containsExactly(1L, 1L).inOrder();
    try (LogStore store = open()) {
      store.append(List.of(entry(3, 5)));
    }
    assertThat(terms(recover())).containsExactly(1L, 1L, 5L).inOrder();
  }

  @Test
  void shouldTruncateATailOfUnwrittenSectors() throws IOException {
    Files.write(firstSegment(), new byte[2048], StandardOpenOption.APPEND);

    assertThat(terms(recover())).containsExactly(1L, 1L, 2L).inOrder();
  }

  @Test
  void shouldReportDamageInTheMiddleAndStartOnABlankDisk() throws IOException {
    flipBit(firstSegment(), Frame.HEADER_BYTES + 2);

    try (LogStore store = open()) {
      assertThat(store.corruption().orElseThrow()).contains(FIRST_SEGMENT + " at byte 0");
      assertThat(store.recovered()).isEqualTo(RecoveredState.blank(new ReplicaId("a", 2)));
    }
    assertThat(Files.exists(folder.resolve(DamagedFiles.FOLDER).resolve(FIRST_SEGMENT))).isTrue();
  }

  @Test
  void shouldNotTreatADamagedLastFrameAsTorn() throws IOException {
    flipBit(firstSegment(), (int) Files.size(firstSegment()) - 1);

    try (LogStore store = open()) {
      assertThat(store.corruption().isPresent()).isTrue();
    }
  }

  @Test
  void shouldReportADamagedSnapshot() throws IOException {
    flipBit(folder.resolve("snapshot-00000000000000000000"), 20);

    try (LogStore store = open()) {
      assertThat(store.corruption().orElseThrow()).contains("snapshot-");
    }
  }

  @Test
  void shouldReadTheVoteWhenOneCopyIsDamaged() throws IOException {
    flipBit(folder.resolve(VoteFile.NAME), Frame.HEADER_BYTES);

    assertThat(recover().votedFor()).isEqualTo(OTHER);
  }

  @Test
  void shouldKeepStateAfterAFailedWriteOnAFullDisk() throws IOException {
    try (LogStore store = open()) {
      disk.setFull(true);
      assertThrows(IOException.class, () -> store.append(List.of(entry(4, 2))));
      store.saveVote(9, null);
      disk.setFull(false);
      store.append(List.of(entry(4, 9)));
    }

    RecoveredState recovered = recover();
    assertThat(recovered.term()).isEqualTo(9);
    assertThat(terms(recovered)).containsExactly(1L, 1L, 2L, 9L).inOrder();
  }

  @Test
  void shouldKeepOnlyEntriesAfterTheSnapshot() throws IOException {
    try (LogStore store = open()) {
      store.saveSnapshot(new SnapshotImage(2, 1, 1, VOTERS, new byte[] {5}), false);
    }

    assertThat(terms(recover())).containsExactly(2L);
  }

  @Test
  void shouldDiscardALogThatConflictsWithTheSnapshot() throws IOException {
    List<LogEntry> stale = List.of(entry(1, 1), entry(2, 1), entry(3, 1));
    SnapshotImage snapshot = new SnapshotImage(2, 4, 1, VOTERS, new byte[0]);

    assertThat(LogTail.afterSnapshot(snapshot, stale, folder)).isEmpty();
  }

  /**
   * A process ended after it had written a leader's snapshot and before it had cleared its own log.
   * Entries that were acknowledged later must not be discarded with those of the old log.
   */
  @Test
  void shouldKeepEntriesAppendedAfterASnapshotThatReplacedTheLog() throws IOException {
    new SnapshotFiles(disk, folder).write(new SnapshotImage(2, 4, 1, VOTERS, new byte[0]));

    try (LogStore store = open()) {
      assertThat(store.recovered().entries()).isEmpty();
      store.append(List.of(entry(3, 4)));
    }

    assertThat(terms(recover())).containsExactly(4L);
  }

  @Test
  void shouldNotOpenAFolderThatIsInUse() throws IOException {
    try (LogStore store = open()) {
      assertThat(store.corruption().isPresent()).isFalse();
      assertThrows(IllegalStateException.class, this::open);
    }
  }

  @Test
  void shouldRejectTheFolderOfAnotherVm() {
    assertThrows(
        IllegalStateException.class,
        () -> LogStore.open(disk, folder, "b", incarnations::incrementAndGet));
  }

  private LogStore open() throws IOException {
    return LogStore.open(disk, folder, "a", incarnations::incrementAndGet);
  }

  private RecoveredState recover() throws IOException {
    try (LogStore store = open()) {
      assertThat(store.corruption().orElse("none")).isEqualTo("none");
      return store.recovered();
    }
  }

  private Path firstSegment() {
    return folder.resolve(FIRST_SEGMENT);
  }

  private static void flipBit(Path file, int offset) throws IOException {
    byte[] bytes = Files.readAllBytes(file);
    bytes[offset] ^= 0x10;
    Files.write(file, bytes);
  }

  private static List<Long> terms(RecoveredState recovered) {
    List<Long> terms = new ArrayList<>();
    recovered.entries().forEach(entry -> terms.add(entry.term()));
    return terms;
  }

  private static LogEntry entry(long index, long term) {
    return new LogEntry(index, term, EntryKind.COMMAND, new byte[] {(byte) index, (byte) term});
  }
}
