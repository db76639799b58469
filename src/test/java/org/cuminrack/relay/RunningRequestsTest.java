package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;
import org.junit.jupiter.api.Test;

class RunningRequestsTest {
  private static final UpstreamProcess ENGINE =
      new UpstreamProcess("engine-1", "127.0.0.1:9001", "boot-1");
  private static final Fingerprint FIRST = fingerprint("first");
  private static final Fingerprint SECOND = fingerprint("second");

  private final FakeCrashReports crashReports = new FakeCrashReports();
  private final RunningRequests running = new RunningRequests(crashReports, RelayBounds.defaults());

  private static Fingerprint fingerprint(String body) {
    return Fingerprint.of("app", "planner", body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void shouldReportAllRequestsOfTheCrashedProcess() {
    running.add(ENGINE, FIRST);
    running.add(ENGINE, SECOND);

    assertThat(running.reportCrash(ENGINE, FIRST).join()).isTrue();

    assertThat(crashReports.crashCount(SECOND)).isEqualTo(1);
  }

  @Test
  void shouldReportACrashOnceForAllObservers() {
    running.add(ENGINE, FIRST);
    running.add(ENGINE, SECOND);

    CompletableFuture<Boolean> first = running.reportCrash(ENGINE, FIRST);
    CompletableFuture<Boolean> second = running.reportCrash(ENGINE, SECOND);

    assertThat(second).isSameInstanceAs(first);
    assertThat(crashReports.reportCount.get()).isEqualTo(1);
  }

  @Test
  void shouldReportAgainAfterAFailedReport() {
    running.add(ENGINE, FIRST);
    crashReports.reachable = false;
    boolean reported = running.reportCrash(ENGINE, FIRST).join();
    crashReports.reachable = true;

    assertThat(reported).isFalse();
    assertThat(running.reportCrash(ENGINE, FIRST).join()).isTrue();
  }

  @Test
  void shouldNotReportRequestsThatHaveEnded() {
    running.add(ENGINE, FIRST);
    running.add(ENGINE, SECOND);
    running.remove(ENGINE, SECOND);

    running.reportCrash(ENGINE, FIRST).join();

    assertThat(crashReports.crashCount(SECOND)).isEqualTo(0);
  }
}
