package org.cuminrack.member;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.cuminrack.generated.control.ControlReply;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireFailure;

/** Finds the leader among the control VMs of the settings, and calls it until it answers. */
public final class ControlClient implements ControlCalls {
  private static final Duration PAUSE = Duration.ofMillis(25);

  /** An attempt with less time than this would only make a known outcome unknown. */
  private static final Duration MIN_ATTEMPT = Duration.ofMillis(100);

  private static final Executor AFTER_PAUSE =
      CompletableFuture.delayedExecutor(PAUSE.toMillis(), TimeUnit.MILLISECONDS);

  private final WireClient wire;
  private final Map<String, String> addresses;
  private final List<String> vms;
  private final Clock clock;
  private volatile String believedLeader;

  /**
   * Makes a client.
   *
   * @param addresses host and port for the wire of each control VM, by VM name
   */
  public ControlClient(WireClient wire, Map<String, String> addresses, Clock clock) {
    if (addresses.isEmpty()) {
      throw new IllegalArgumentException("addresses: expected one or more control VMs, found none");
    }
    this.wire = wire;
    this.addresses = Map.copyOf(addresses);
    this.vms = addresses.keySet().stream().sorted().toList();
    this.clock = clock;
    this.believedLeader = vms.get(0);
  }

  @Override
  public CompletableFuture<Either<ControlFailure, byte[]>> call(
      Method method, byte[] payload, Duration timeout, Duration attemptTimeout) {
    long deadlineNanos = clock.nanoTime() + timeout.toNanos();
    Call call = new Call(method, payload, deadlineNanos, attemptTimeout);
    call.attempt(believedLeader);
    return call.answer;
  }

  private String after(String vm) {
    return vms.get((vms.indexOf(vm) + 1) % vms.size());
  }

  /** One call with its attempts, which follow one another. */
  private final class Call {
    private final Method method;
    private final byte[] payload;
    private final long deadlineNanos;
    private final Duration attemptTimeout;
    private final CompletableFuture<Either<ControlFailure, byte[]>> answer =
        new CompletableFuture<>();
    private boolean mayHaveBeenDone;
    private String lastDetail = "no attempt was made in time";

    Call(Method method, byte[] payload, long deadlineNanos, Duration attemptTimeout) {
      this.method = method;
      this.payload = payload;
      this.deadlineNanos = deadlineNanos;
      this.attemptTimeout = attemptTimeout;
    }

    void attempt(String vm) {
      Duration left = Duration.ofNanos(deadlineNanos - clock.nanoTime());
      if (left.toMillis() <= 0) {
        giveUp();
        return;
      }
      Duration timeout = left.compareTo(attemptTimeout) < 0 ? left : attemptTimeout;
      wire.call(addresses.get(vm), method, payload, timeout)
          .whenComplete(
              (outcome, failure) -> {
                if (failure != null) {
                  retry(vm, true, failure.toString());
                } else if (outcome.isLeft()) {
                  lost(vm, outcome.getLeft());
                } else {
                  answered(vm, outcome.get());
                }
              });
    }

    private void lost(String vm, WireFailure failure) {
      boolean sent = !(failure instanceof WireFailure.Unreachable);
      retry(after(vm), sent, failure.toString());
    }

    private void answered(String vm, byte[] bytes) {
      ControlReply reply;
      try {
        reply = ControlReply.parseFrom(bytes);
      } catch (InvalidProtocolBufferException e) {
        retry(after(vm), true, "unreadable answer of " + vm);
        return;
      }
      switch (reply.getStatus()) {
        case OK -> {
          believedLeader = vm;
          answer.complete(Either.right(reply.getBody().toByteArray()));
        }
        case NOT_LEADER -> follow(vm, reply.getLeader());
        case REFUSED -> answer.complete(Either.left(new ControlFailure.Refused(reply.getDetail())));
        case READ_ONLY -> retry(vm, false, reply.getDetail());
        default -> retry(vm, true, reply.getDetail());
      }
    }

    private void follow(String vm, String leader) {
      lastDetail = vm + " does not lead";
      boolean elsewhere = addresses.containsKey(leader) && !leader.equals(vm);
      if (elsewhere && leader.equals(believedLeader)) {
        retry(leader, false, lastDetail);
      } else if (elsewhere) {
        believedLeader = leader;
        attempt(leader);
      } else {
        retry(after(vm), false, lastDetail);
      }
    }

    private void retry(String vm, boolean sent, String detail) {
      mayHaveBeenDone |= sent;
      lastDetail = detail;
      Duration left = Duration.ofNanos(deadlineNanos - clock.nanoTime());
      if (left.compareTo(PAUSE.plus(MIN_ATTEMPT)) < 0) {
        giveUp();
        return;
      }
      AFTER_PAUSE.execute(() -> attempt(vm));
    }

    private void giveUp() {
      answer.complete(
          Either.left(
              mayHaveBeenDone
                  ? new ControlFailure.Unknown(lastDetail)
                  : new ControlFailure.Unavailable(lastDetail)));
    }
  }
}
