package org.cuminrack.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes of a connection in {@link WireTraffic}. */
final class TrafficHandler extends ChannelDuplexHandler {

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes) {
      WireTraffic.addRead(bytes.readableBytes());
    }
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf bytes) {
      WireTraffic.addWritten(bytes.readableBytes());
    }
    context.write(message, promise);
  }
}
