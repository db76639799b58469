package org.cuminrack.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminrack.generated.wire.Envelope;
import org.cuminrack.generated.wire.EnvelopeKind;

/** A connection to one process, with its pending calls. */
final class WireConnection {
  private final String address;
  private final Map<Long, CompletableFuture<Either<WireFailure, byte[]>>> pendingCalls =
      new ConcurrentHashMap<>();
  private ChannelFuture connectFuture;
  private volatile boolean closed;

  private WireConnection(String address) {
    this.address = address;
  }

  /** Starts to connect; calls can be sent before the connection is established. */
  static WireConnection open(Bootstrap bootstrap, WireGroup group, String address) {
    WireConnection connection = new WireConnection(address);
    Bootstrap connectionBootstrap = bootstrap.clone();
    connectionBootstrap.handler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            WirePipeline.addCodecs(channel);
            channel.pipeline().addLast(new HeartbeatHandler(group));
            channel.pipeline().addLast(connection.new ResponseHandler());
          }
        });
    connection.connectFuture = connectionBootstrap.connect(socketAddress(address));
    connection.connectFuture.addListener(done -> connection.connectCompleted(done.cause()));
    return connection;
  }

  boolean isUsable() {
    return !closed;
  }

  CompletableFuture<Either<WireFailure, byte[]>> send(Envelope request) {
    CompletableFuture<Either<WireFailure, byte[]>> response = new CompletableFuture<>();
    pendingCalls.put(request.getCallId(), response);
    connectFuture.addListener(
        done -> {
          if (done.isSuccess()) {
            connectFuture.channel().writeAndFlush(request);
          } else {
            response.complete(
                Either.left(new WireFailure.Unreachable(address, done.cause().toString())));
          }
        });
    if (closed) {
      failPendingCalls("connection closed");
    }
    return response;
  }

  void removeCall(long callId) {
    pendingCalls.remove(callId);
  }

  private void connectCompleted(Throwable failure) {
    if (failure != null) {
      closed = true;
    }
  }

  private void failPendingCalls(String detail) {
    pendingCalls
        .values()
        .forEach(
            response -> response.complete(Either.left(new WireFailure.NoAnswer(address, detail))));
  }

  private static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
  }

  /** Matches responses to pending calls; drops responses that arrive after the timeout. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<Envelope> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
      CompletableFuture<Either<WireFailure, byte[]>> response =
          pendingCalls.remove(message.getCallId());
      if (response == null) {
        return;
      }
      if (message.getKind() == EnvelopeKind.RESPONSE) {
        response.complete(Either.right(message.getPayload().toByteArray()));
      } else {
        response.complete(Either.left(new WireFailure.Rejected(address, message.getFailure())));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      closed = true;
      failPendingCalls("connection lost");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
