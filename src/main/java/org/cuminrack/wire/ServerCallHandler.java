package org.cuminrack.wire;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.wire.Envelope;
import org.cuminrack.generated.wire.EnvelopeKind;

/** Answers the requests of one connection. */
final class ServerCallHandler extends SimpleChannelInboundHandler<Envelope> {
  private final WireGroup group;
  private final Map<Integer, WireHandler> handlers;

  ServerCallHandler(WireGroup group, Map<Integer, WireHandler> handlers) {
    this.group = group;
    this.handlers = handlers;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope request) {
    if (request.getKind() != EnvelopeKind.REQUEST) {
      return;
    }
    call(request)
        .whenComplete(
            (payload, failure) ->
                context.writeAndFlush(responseEnvelope(request, payload, failure)));
  }

  private CompletableFuture<byte[]> call(Envelope request) {
    WireHandler handler = handlers.get(request.getMethod());
    String rejectionReason = rejectionReason(request, handler);
    if (rejectionReason != null) {
      return CompletableFuture.failedFuture(new IllegalArgumentException(rejectionReason));
    }
    try {
      return handler.handle(request.getPayload().toByteArray());
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private String rejectionReason(Envelope request, WireHandler handler) {
    if (request.getVersion() != WireLimits.VERSION) {
      return "expected version " + WireLimits.VERSION + ", found " + request.getVersion();
    }
    WireGroup found = new WireGroup(request.getRegion(), request.getGroup());
    if (!found.equals(group)) {
      return "expected " + group + ", found " + found;
    }
    return handler == null ? "no method " + request.getMethod() + " here" : null;
  }

  private Envelope responseEnvelope(Envelope request, byte[] payload, Throwable failure) {
    Envelope.Builder response =
        Envelope.newBuilder()
            .setVersion(WireLimits.VERSION)
            .setRegion(group.region())
            .setGroup(group.group())
            .setCallId(request.getCallId())
            .setMethod(request.getMethod());
    if (failure != null) {
      String text = failure.getMessage() == null ? failure.toString() : failure.getMessage();
      return response.setKind(EnvelopeKind.FAILURE).setFailure(text).build();
    }
    return response.setKind(EnvelopeKind.RESPONSE).setPayload(ByteString.copyFrom(payload)).build();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
