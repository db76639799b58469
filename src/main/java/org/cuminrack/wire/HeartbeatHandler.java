package org.cuminrack.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.cuminrack.generated.wire.Envelope;
import org.cuminrack.generated.wire.EnvelopeKind;

/** Sends and answers heartbeats, and closes a connection on which nothing is received. */
final class HeartbeatHandler extends SimpleChannelInboundHandler<Envelope> {
  private final WireGroup group;

  HeartbeatHandler(WireGroup group) {
    this.group = group;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope message) {
    switch (message.getKind()) {
      case HEARTBEAT -> context.writeAndFlush(envelope(EnvelopeKind.HEARTBEAT_REPLY));
      case HEARTBEAT_REPLY -> {}
      default -> context.fireChannelRead(message);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (!(event instanceof IdleStateEvent idle)) {
      context.fireUserEventTriggered(event);
      return;
    }
    if (idle.state() == IdleState.READER_IDLE) {
      context.close();
    } else {
      context.writeAndFlush(envelope(EnvelopeKind.HEARTBEAT));
    }
  }

  private Envelope envelope(EnvelopeKind kind) {
    return Envelope.newBuilder()
        .setVersion(WireLimits.VERSION)
        .setRegion(group.region())
        .setGroup(group.group())
        .setKind(kind)
        .build();
  }
}
