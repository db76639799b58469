package org.cuminrack.wire;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminrack.generated.wire.Envelope;
import org.cuminrack.generated.wire.EnvelopeKind;
import org.cuminrack.lifecycle.ManagedService;

/**
 * Calls other cuminrack processes, over one connection to each. When a connection is lost or
 * silent, its calls fail immediately, and the next call reconnects.
 */
public final class WireClient implements ManagedService {
  private final WireGroup group;
  private final AtomicLong lastCallId = new AtomicLong();
  private final Map<String, WireConnection> connections = new ConcurrentHashMap<>();
  private final EventLoops loops = new EventLoops("wire-client");
  private Bootstrap bootstrap;

  public WireClient(WireGroup group) {
    this.group = group;
  }

  @Override
  public void start() {
    loops.start();
    bootstrap = new Bootstrap().group(loops.group()).channel(NioSocketChannel.class);
    bootstrap.option(ChannelOption.TCP_NODELAY, true);
    bootstrap.option(
        ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) WireLimits.CONNECT_TIMEOUT.toMillis());
  }

  /**
   * Calls a method of the process at an address. The future always completes normally, at the
   * latest after the timeout.
   *
   * @param address host and port, such as {@code 127.0.0.1:7001}
   */
  public CompletableFuture<Either<WireFailure, byte[]>> call(
      String address, Method method, byte[] payload, Duration timeout) {
    if (loops.group() == null) {
      return CompletableFuture.completedFuture(
          Either.left(new WireFailure.Unreachable(address, "the client is not running")));
    }
    long callId = lastCallId.incrementAndGet();
    WireConnection connection = connectionTo(address);
    CompletableFuture<Either<WireFailure, byte[]>> response =
        connection.send(request(method, payload, timeout, callId));
    response.completeOnTimeout(
        Either.left(
            new WireFailure.NoAnswer(address, "no answer in " + timeout.toMillis() + " ms")),
        timeout.toMillis(),
        TimeUnit.MILLISECONDS);
    response.whenComplete((result, failure) -> connection.removeCall(callId));
    return response;
  }

  private WireConnection connectionTo(String address) {
    return connections.compute(
        address,
        (key, existing) ->
            existing != null && existing.isUsable()
                ? existing
                : WireConnection.open(bootstrap, group, key));
  }

  private Envelope request(Method method, byte[] payload, Duration timeout, long callId) {
    return Envelope.newBuilder()
        .setVersion(WireLimits.VERSION)
        .setRegion(group.region())
        .setGroup(group.group())
        .setKind(EnvelopeKind.REQUEST)
        .setCallId(callId)
        .setMethod(method.number())
        .setTimeoutMillis((int) Math.min(Integer.MAX_VALUE, timeout.toMillis()))
        .setPayload(ByteString.copyFrom(payload))
        .build();
  }

  @Override
  public void stop() {
    loops.stop();
  }
}
