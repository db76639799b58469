package org.cuminrack.member;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.control.ControlGroup;
import org.cuminrack.control.LeaseSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ReplicatedCrashReportsTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Fingerprint POISON =
      Fingerprint.of("kamba", "assistant", "x".getBytes(StandardCharsets.UTF_8));

  private final ControlGroup control = new ControlGroup();
  private final SessionClient entry =
      new SessionClient(
          new EntryIdentity("entry-1", "dc-a", "127.0.0.1:1", "127.0.0.1:2"),
          control,
          LeaseSettings.standard(),
          control.clock);
  private final CrashReports reports = new ReplicatedCrashReports(control, control.clock);

  @BeforeEach
  void openSession() {
    entry.tick();
  }

  @Test
  void shouldCountEachBootOfUpstreamOnce() {
    report("engine-1", "boot-1");
    report("engine-1", "boot-1");
    report("engine-1", "boot-2");
    control.tick();

    assertThat(entry.view().suspects()).containsExactly(POISON.hex(), 2);
  }

  @Test
  void shouldCompleteOnceReportIsInForce() {
    CompletableFuture<Boolean> result = report("engine-1", "boot-1");

    control.tick();
    control.tick();

    assertThat(result.join()).isTrue();
  }

  @Test
  void shouldNotCompleteWhileAnEntryHasNotAppliedReport() {
    control.setUnreachable(true);
    control.tick();
    control.setUnreachable(false);
    CompletableFuture<Boolean> result = report("engine-1", "boot-1");
    control.setUnreachable(true);

    control.advanceTime(Duration.ofSeconds(1));
    assertThat(result.isDone()).isFalse();
    control.advanceTime(TIMEOUT);

    assertThat(result.isDone()).isTrue();
  }

  @Test
  void shouldClearSuspicion() {
    report("engine-1", "boot-1");

    reports.clear(POISON);
    control.tick();

    assertThat(entry.view().suspects()).isEmpty();
  }

  @Test
  void shouldExpireSuspicionAfterRetention() {
    report("engine-1", "boot-1");
    control.tick();

    control.clock.advance(Duration.ofHours(1));
    control.tick();

    assertThat(control.state().changesAfter(0).getSuspectsList()).isEmpty();
  }

  private CompletableFuture<Boolean> report(String upstream, String bootId) {
    return reports.reportCrash(
        upstream,
        bootId,
        Map.of(POISON, CrashEvidence.ofRequest(CrashReports.COUNT_ALWAYS)),
        TIMEOUT);
  }
}
