package org.cuminrack.member;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cuminrack.generated.control.ControlReply;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireFailure;

/** Calls the leader of the configured control VMs, with leader discovery and retries. */
public final class ControlClient implements ControlCalls {
  private static final Duration RETRY_DELAY = Duration.ofMillis(25);

  /** A shorter attempt would likely time out and turn a known outcome into an unknown one. */
  private static final Duration MIN_ATTEMPT_TIMEOUT = Duration.ofMillis(100);

  private static final Executor DELAYED_EXECUTOR =
      CompletableFuture.delayedExecutor(RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);

  private final WireClient wire;
  private final Supplier<Map<String, String>> addresses;
  private final Clock clock;
  private volatile String leaderHint = "";

  /**
   * Creates a client.
   *
   * @param addresses wire address (host and port) of each control VM, by VM name
   */
  public ControlClient(WireClient wire, Map<String, String> addresses, Clock clock) {
    this(wire, () -> addresses, clock);
    if (addresses.isEmpty()) {
      throw new IllegalArgumentException("addresses: expected one or more control VMs, found none");
    }
  }

  /**
   * Creates a client of a control group whose VMs may change.
   *
   * @param addresses supplies the wire address (host and port) of each control VM, by VM name
   */
  public ControlClient(WireClient wire, Supplier<Map<String, String>> addresses, Clock clock) {
    this.wire = wire;
    this.addresses = addresses;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<Either<ControlFailure, byte[]>> call(
      Method method, byte[] payload, Duration timeout, Duration attemptTimeout) {
    long deadlineNanos = clock.nanoTime() + timeout.toNanos();
    Call call = new Call(method, payload, deadlineNanos, attemptTimeout);
    call.attempt(leaderHint.isEmpty() ? nextVm("") : leaderHint);
    return call.result;
  }

  /** Returns the VM that follows another one by name; empty if there is none at all. */
  private String nextVm(String vm) {
    List<String> vms = addresses.get().keySet().stream().sorted().toList();
    return vms.isEmpty() ? "" : vms.get((vms.indexOf(vm) + 1) % vms.size());
  }

  /** One call with its sequential attempts. */
  private final class Call {
    private final Method method;
    private final byte[] payload;
    private final long deadlineNanos;
    private final Duration attemptTimeout;
    private final CompletableFuture<Either<ControlFailure, byte[]>> result =
        new CompletableFuture<>();
    private boolean mayHaveBeenExecuted;
    private String lastDetail = "no attempt was made in time";

    Call(Method method, byte[] payload, long deadlineNanos, Duration attemptTimeout) {
      this.method = method;
      this.payload = payload;
      this.deadlineNanos = deadlineNanos;
      this.attemptTimeout = attemptTimeout;
    }

    void attempt(String vm) {
      Duration remaining = Duration.ofNanos(deadlineNanos - clock.nanoTime());
      if (remaining.toMillis() <= 0) {
        fail();
        return;
      }
      Duration timeout = remaining.compareTo(attemptTimeout) < 0 ? remaining : attemptTimeout;
      String address = addresses.get().get(vm);
      if (address == null) {
        retry(nextVm(vm), false, "control VM '" + vm + "' is not known");
        return;
      }
      wire.call(address, method, payload, timeout)
          .whenComplete(
              (outcome, failure) -> {
                if (failure != null) {
                  retry(vm, true, failure.toString());
                } else if (outcome.isLeft()) {
                  handleFailure(vm, outcome.getLeft());
                } else {
                  handleReply(vm, outcome.get());
                }
              });
    }

    private void handleFailure(String vm, WireFailure failure) {
      boolean mayHaveBeenSent = !(failure instanceof WireFailure.Unreachable);
      retry(nextVm(vm), mayHaveBeenSent, failure.toString());
    }

    private void handleReply(String vm, byte[] bytes) {
      ControlReply reply;
      try {
        reply = ControlReply.parseFrom(bytes);
      } catch (InvalidProtocolBufferException e) {
        retry(nextVm(vm), true, "unreadable answer of " + vm);
        return;
      }
      switch (reply.getStatus()) {
        case OK -> {
          leaderHint = vm;
          result.complete(Either.right(reply.getBody().toByteArray()));
        }
        case NOT_LEADER -> redirect(vm, reply.getLeader());
        case REFUSED -> result.complete(Either.left(new ControlFailure.Refused(reply.getDetail())));
        case READ_ONLY -> retry(vm, false, reply.getDetail());
        default -> retry(vm, true, reply.getDetail());
      }
    }

    private void redirect(String vm, String leader) {
      lastDetail = vm + " does not lead";
      boolean isOtherVm = addresses.get().containsKey(leader) && !leader.equals(vm);
      if (isOtherVm && leader.equals(leaderHint)) {
        retry(leader, false, lastDetail);
      } else if (isOtherVm) {
        leaderHint = leader;
        attempt(leader);
      } else {
        retry(nextVm(vm), false, lastDetail);
      }
    }

    private void retry(String vm, boolean mayHaveBeenSent, String detail) {
      mayHaveBeenExecuted |= mayHaveBeenSent;
      lastDetail = detail;
      Duration remaining = Duration.ofNanos(deadlineNanos - clock.nanoTime());
      if (remaining.compareTo(RETRY_DELAY.plus(MIN_ATTEMPT_TIMEOUT)) < 0) {
        fail();
        return;
      }
      DELAYED_EXECUTOR.execute(() -> attempt(vm));
    }

    private void fail() {
      result.complete(
          Either.left(
              mayHaveBeenExecuted
                  ? new ControlFailure.Unknown(lastDetail)
                  : new ControlFailure.Unavailable(lastDetail)));
    }
  }
}
