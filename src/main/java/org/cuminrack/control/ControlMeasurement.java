package org.cuminrack.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.cuminrack.config.Upstream;
import org.cuminrack.generated.control.AnswerData;
import org.cuminrack.generated.control.CallKeyData;
import org.cuminrack.generated.control.ChangeRequest;
import org.cuminrack.generated.control.ChangeVerdict;
import org.cuminrack.generated.control.ClaimRequest;
import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.control.FinishRequest;
import org.cuminrack.generated.control.FinishResult;
import org.cuminrack.generated.control.InForceRequest;
import org.cuminrack.generated.control.OpenSessionRequest;
import org.cuminrack.member.ControlClient;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireTraffic;

/**
 * Measures the cost of the control service by number of entries: bytes (both directions, without
 * TCP overhead) and CPU time when idle and under changes, the time until a change is in force at
 * every entry, and the memory of the ledger. One control VM with its log on disk and all entries
 * run in this process.
 */
public final class ControlMeasurement {
  private static final int[] ENTRY_COUNTS = {10, 50, 100, 200, 370};
  private static final int CHANGE_COUNT = 50;
  private static final int LEDGER_CALL_COUNT = 10_000;
  private static final int RESPONSE_BODY_BYTES = 200;
  private static final Duration WARM_UP = Duration.ofSeconds(2);
  private static final Duration IDLE_PERIOD = Duration.ofSeconds(6);
  private static final Duration PAUSE = Duration.ofMillis(100);
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final PrintStream out;
  private final Clock clock = Clock.system();
  private final OperatingSystemMXBean system =
      (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

  private ControlMeasurement(PrintStream out) {
    this.out = out;
  }

  /** Runs the measurement, which takes about 90 seconds, and prints its tables. */
  public static void run(PrintStream out) throws IOException, InterruptedException {
    new ControlMeasurement(out).measure();
  }

  /** Runs the measurement as a standalone program. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    run(System.out);
    System.exit(0);
  }

  private void measure() throws IOException, InterruptedException {
    measureLedger();
    out.println(
        "entries rest_bytes_per_s_and_entry rest_control_cpu_us_per_s_and_entry"
            + " rest_all_cpu_us_per_s_and_entry change_bytes_per_entry"
            + " change_control_cpu_us_per_entry in_force_p50_ms in_force_p99_ms");
    for (int entries : ENTRY_COUNTS) {
      measureWithEntries(entries);
    }
  }

  private void measureWithEntries(int count) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("control-measurement");
    MeasuredControl control = new MeasuredControl(folder, clock);
    control.start();
    List<MeasuredEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(new MeasuredEntry(i, control, clock));
    }
    entries.forEach(MeasuredEntry::start);
    while (!entries.stream().allMatch(MeasuredEntry::isReady)) {
      pause(PAUSE);
    }
    pause(WARM_UP);
    measureUsage(count, control);
    entries.parallelStream().forEach(MeasuredEntry::stop);
    control.stop();
  }

  private void measureUsage(int count, MeasuredControl control) throws InterruptedException {
    Usage before = Usage.of(control, system);
    pause(IDLE_PERIOD);
    Usage idle = Usage.of(control, system).minus(before);
    double idleSeconds = IDLE_PERIOD.toMillis() / 1000.0;

    Histogram inForceMicros = new Histogram(3);
    long startNanos = clock.nanoTime();
    Usage beforeChanges = Usage.of(control, system);
    measureChanges(control, inForceMicros);
    Usage changes = Usage.of(control, system).minus(beforeChanges);
    double changeSeconds = (clock.nanoTime() - startNanos) / 1e9;

    double idlePeriods = changeSeconds / idleSeconds;
    double changeBytes = (changes.bytes - idle.bytes * idlePeriods) / CHANGE_COUNT / count;
    double changeCpu = (changes.controlCpuNanos - idle.controlCpuNanos * idlePeriods) / 1e3;
    out.printf(
        "%d %.0f %.0f %.0f %.0f %.1f %.1f %.1f%n",
        count,
        idle.bytes / idleSeconds / count,
        idle.controlCpuNanos / 1e3 / idleSeconds / count,
        idle.processCpuNanos / 1e3 / idleSeconds / count,
        changeBytes,
        changeCpu / CHANGE_COUNT / count,
        inForceMicros.getValueAtPercentile(50) / 1e3,
        inForceMicros.getValueAtPercentile(99) / 1e3);
  }

  private void measureChanges(MeasuredControl control, Histogram inForceMicros)
      throws InterruptedException {
    WireClient wire = new WireClient(MeasuredControl.GROUP);
    wire.start();
    ControlClient client = new ControlClient(wire, control.addresses(), clock);
    for (int i = 0; i < CHANGE_COUNT; i++) {
      long revision = applyChange(client, i);
      long acceptedNanos = clock.nanoTime();
      awaitInForce(client, revision);
      inForceMicros.recordValue((clock.nanoTime() - acceptedNanos) / 1000);
      pause(PAUSE);
    }
    wire.stop();
  }

  private static long applyChange(ControlClient client, int number) {
    ChangeRequest request =
        ChangeRequest.newBuilder()
            .setChangeId("change-" + number)
            .addChanges(ConfigCodec.put(new Upstream("engine-" + number, true), 0))
            .build();
    byte[] reply = client.call(Method.CHANGE, request.toByteArray(), TIMEOUT).join().get();
    try {
      return ChangeVerdict.parseFrom(reply).getRevision();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void awaitInForce(ControlClient client, long revision) {
    InForceRequest request =
        InForceRequest.newBuilder()
            .setRevision(revision)
            .setWaitMillis((int) TIMEOUT.toMillis())
            .build();
    client.call(Method.IN_FORCE, request.toByteArray(), TIMEOUT, TIMEOUT).join().get();
  }

  private void measureLedger() throws InterruptedException {
    ControlState state = new ControlState();
    OpenSessionRequest open =
        OpenSessionRequest.newBuilder().setToken("t").setName("entry-1").build();
    state.apply(1, Command.newBuilder().setOpenSession(open).build().toByteArray());
    state.apply(2, claim(0));
    state.apply(3, finish(0, 2));
    long before = usedHeapBytes();
    for (int i = 1; i <= LEDGER_CALL_COUNT; i++) {
      long claimId = 2L + 2L * i;
      state.apply(claimId, claim(i));
      state.apply(claimId + 1, finish(i, claimId));
    }
    long after = usedHeapBytes();
    out.println("ledger_calls heap_bytes snapshot_bytes");
    out.printf("%d %d %d%n", state.ledgerCalls(), after - before, state.snapshot().length);
  }

  private static byte[] claim(int number) {
    ClaimRequest claim =
        ClaimRequest.newBuilder()
            .setKey(key(number))
            .setFingerprint("f".repeat(64))
            .setSessionId(1)
            .setToken("t".repeat(32) + number)
            .build();
    return Command.newBuilder().setTimeMillis(1).setClaim(claim).build().toByteArray();
  }

  private static byte[] finish(int number, long claimId) {
    FinishRequest finish =
        FinishRequest.newBuilder()
            .setKey(key(number))
            .setClaimId(claimId)
            .setResult(FinishResult.FINISH_DONE)
            .setAnswer(
                AnswerData.newBuilder()
                    .setHttpStatus(201)
                    .setContentType("application/json")
                    .setBody(ByteString.copyFrom(new byte[RESPONSE_BODY_BYTES])))
            .build();
    return Command.newBuilder().setTimeMillis(1).setFinish(finish).build().toByteArray();
  }

  private static CallKeyData key(int number) {
    return CallKeyData.newBuilder()
        .setOrganisation("lyzicka")
        .setRoute("orders")
        .setIdempotencyKey("3f2a77d0-5c1e-4e5b-9b1d-" + number)
        .build();
  }

  private static long usedHeapBytes() throws InterruptedException {
    for (int i = 0; i < 3; i++) {
      System.gc();
      pause(PAUSE);
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static void pause(Duration duration) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(duration.toNanos());
  }

  /** Resource usage up to an instant, or between two instants. */
  private record Usage(long bytes, long controlCpuNanos, long processCpuNanos) {

    static Usage of(MeasuredControl control, OperatingSystemMXBean system) {
      return new Usage(WireTraffic.writtenBytes(), control.cpuNanos(), system.getProcessCpuTime());
    }

    Usage minus(Usage earlier) {
      return new Usage(
          bytes - earlier.bytes,
          controlCpuNanos - earlier.controlCpuNanos,
          processCpuNanos - earlier.processCpuNanos);
    }
  }
}
