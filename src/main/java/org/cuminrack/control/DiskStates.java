package org.cuminrack.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cuminrack.generated.control.DiskStateReply;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.DiskRefusal;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireFailure;
import org.cuminrack.wire.WireServer;

/**
 * Asks all control VMs whether their disks accept writes, without the help of a leader: there may
 * be none because disks refuse.
 */
public final class DiskStates {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private static final byte[] EMPTY = {};

  private final WireClient wire;
  private final Supplier<Map<String, String>> addresses;
  private final Supplier<Optional<DiskRefusal>> ownRefusal;

  /**
   * Creates a service.
   *
   * @param addresses supplies the wire address (host and port) of each control VM, by VM name
   * @param ownRefusal supplies the refusal of this VM's disk; empty if it accepts writes
   */
  public DiskStates(
      WireClient wire,
      Supplier<Map<String, String>> addresses,
      Supplier<Optional<DiskRefusal>> ownRefusal) {
    this.wire = wire;
    this.addresses = addresses;
    this.ownRefusal = ownRefusal;
  }

  /** Registers the handler for the calls of other control VMs; call before the server starts. */
  public void register(WireServer server) {
    server.serve(
        Method.DISK_STATE, payload -> CompletableFuture.completedFuture(ownState().toByteArray()));
  }

  private DiskStateReply ownState() {
    return ownRefusal
        .get()
        .map(
            refusal ->
                DiskStateReply.newBuilder()
                    .setRefusesWrites(true)
                    .setSinceMillis(refusal.since().toEpochMilli())
                    .setWrite(refusal.write())
                    .setDetail(refusal.detail())
                    .build())
        .orElse(DiskStateReply.getDefaultInstance());
  }

  /** Returns the state of each control VM's disk by VM name, as JSON objects. */
  CompletableFuture<Map<String, Object>> gather() {
    Map<String, CompletableFuture<Map<String, Object>>> calls = new TreeMap<>();
    addresses
        .get()
        .forEach(
            (vm, address) ->
                calls.put(
                    vm,
                    wire.call(address, Method.DISK_STATE, EMPTY, TIMEOUT)
                        .thenApply(DiskStates::describe)));
    return CompletableFuture.allOf(calls.values().toArray(CompletableFuture[]::new))
        .thenApply(
            done -> {
              Map<String, Object> states = new LinkedHashMap<>();
              calls.forEach((vm, call) -> states.put(vm, call.join()));
              return states;
            });
  }

  private static Map<String, Object> describe(Either<WireFailure, byte[]> answer) {
    Map<String, Object> state = new LinkedHashMap<>();
    if (answer.isLeft()) {
      state.put("state", "unknown");
      state.put("detail", answer.getLeft().toString());
      return state;
    }
    try {
      DiskStateReply reply = DiskStateReply.parseFrom(answer.get());
      state.put("state", reply.getRefusesWrites() ? "refuses-writes" : "accepts-writes");
      if (reply.getRefusesWrites()) {
        state.put("since", Instant.ofEpochMilli(reply.getSinceMillis()).toString());
        state.put("write", reply.getWrite());
        state.put("detail", reply.getDetail());
      }
    } catch (InvalidProtocolBufferException e) {
      logger.atWarning().withCause(e).log("%s", LogEvent.named("disk-state-unreadable"));
      state.put("state", "unknown");
      state.put("detail", "unreadable answer");
    }
    return state;
  }
}
