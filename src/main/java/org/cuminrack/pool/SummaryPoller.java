package org.cuminrack.pool;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.generated.pool.DigestsAnswer;
import org.cuminrack.generated.pool.DigestsCall;
import org.cuminrack.member.ClusterView;
import org.cuminrack.member.EntryMember;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireFailure;

/** Fetches stale summaries of the pools in use from their owners, with one call per owner. */
final class SummaryPoller {
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);

  private final AdmissionContext context;
  private final PoolCalls calls;

  SummaryPoller(AdmissionContext context, PoolCalls calls) {
    this.context = context;
    this.calls = calls;
  }

  void poll() {
    ClusterView view = context.membership().view();
    Map<String, DigestsCall.Builder> byAddress = new HashMap<>();
    for (PoolKey each : context.summaries().dueForRefresh(view, context.clock().nanoTime())) {
      Optional<OwnedPool> ownPool = context.owner().ownedPool(each);
      if (ownPool.isPresent()) {
        context.summaries().put(ownPool.get().summary(), context.clock().nanoTime());
      } else {
        PoolOwnership.ownerOf(each, view)
            .map(EntryMember::wireAddress)
            .ifPresent(address -> add(byAddress, address, each));
      }
    }
    byAddress.forEach(this::call);
  }

  private static void add(
      Map<String, DigestsCall.Builder> byAddress, String address, PoolKey pool) {
    byAddress
        .computeIfAbsent(address, each -> DigestsCall.newBuilder())
        .addPools(PoolMessages.message(pool));
  }

  private void call(String address, DigestsCall.Builder call) {
    calls
        .call(address, Method.POOL_DIGESTS, call.build().toByteArray(), CALL_TIMEOUT)
        .thenAccept(this::receive);
  }

  private void receive(Either<WireFailure, byte[]> response) {
    if (response.isLeft()) {
      return;
    }
    try {
      DigestsAnswer.parseFrom(response.get())
          .getDigestsList()
          .forEach(
              each ->
                  context.summaries().put(PoolMessages.summary(each), context.clock().nanoTime()));
    } catch (InvalidProtocolBufferException e) {
      // An unreadable response leaves the old summaries in place.
      return;
    }
  }
}
