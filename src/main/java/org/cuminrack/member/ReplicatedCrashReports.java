package org.cuminrack.member;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.generated.control.ClearSuspectRequest;
import org.cuminrack.generated.control.CrashRequest;
import org.cuminrack.generated.control.FingerprintList;
import org.cuminrack.generated.control.InForceReply;
import org.cuminrack.generated.control.InForceRequest;
import org.cuminrack.generated.control.RevisionResult;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;

/** Crash reports stored by control and in force at every entry with a lease. */
public final class ReplicatedCrashReports implements CrashReports {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CLEAR_TIMEOUT = Duration.ofSeconds(5);

  private final ControlCalls calls;
  private final Clock clock;

  public ReplicatedCrashReports(ControlCalls calls, Clock clock) {
    this.calls = calls;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<Boolean> reportCrash(
      String upstream, String bootId, Map<Fingerprint, CrashEvidence> running, Duration timeout) {
    long deadlineNanos = clock.nanoTime() + timeout.toNanos();
    CrashRequest.Builder request =
        CrashRequest.newBuilder().setUpstream(upstream).setBootId(bootId);
    running.forEach(
        (fingerprint, evidence) ->
            request
                .addFingerprints(fingerprint.hex())
                .addKnownCrashes(evidence.knownCrashes())
                .addCompanions(
                    FingerprintList.newBuilder()
                        .addAllFingerprints(
                            evidence.companions().stream().map(Fingerprint::hex).toList())));
    return calls
        .call(Method.REPORT_CRASH, request.build().toByteArray(), timeout)
        .thenCompose(outcome -> awaitInForce(outcome, deadlineNanos));
  }

  @Override
  public void clear(Fingerprint fingerprint) {
    ClearSuspectRequest request =
        ClearSuspectRequest.newBuilder().setFingerprint(fingerprint.hex()).build();
    calls
        .call(Method.CLEAR_SUSPECT, request.toByteArray(), CLEAR_TIMEOUT)
        .thenAccept(outcome -> outcome.peekLeft(ReplicatedCrashReports::logNotCleared));
  }

  private CompletableFuture<Boolean> awaitInForce(
      Either<ControlFailure, byte[]> reported, long deadlineNanos) {
    Duration remaining = Duration.ofNanos(deadlineNanos - clock.nanoTime());
    if (reported.isLeft() || remaining.toMillis() <= 0) {
      return CompletableFuture.completedFuture(false);
    }
    InForceRequest request =
        InForceRequest.newBuilder()
            .setRevision(revision(reported.get()))
            .setWaitMillis((int) remaining.toMillis())
            .build();
    return calls
        .call(Method.IN_FORCE, request.toByteArray(), remaining, remaining)
        .thenApply(outcome -> outcome.fold(failure -> false, ReplicatedCrashReports::isInForce));
  }

  private static long revision(byte[] reply) {
    try {
      return RevisionResult.parseFrom(reply).getRevision();
    } catch (InvalidProtocolBufferException e) {
      // An unreadable reply gives a revision that is never in force.
      return Long.MAX_VALUE;
    }
  }

  private static boolean isInForce(byte[] reply) {
    try {
      return InForceReply.parseFrom(reply).getInForce();
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }

  private static void logNotCleared(ControlFailure failure) {
    logger.atWarning().log(
        "%s", LogEvent.named("suspect-not-cleared").with("detail", failure.detail()));
  }
}
