package org.cuminrack.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.cuminrack.generated.wire.Envelope;

/** The channel pipeline of a connection: a four-byte length prefix, then an {@link Envelope}. */
final class WirePipeline {
  private static final int LENGTH_BYTES = 4;

  private WirePipeline() {}

  /** Adds the codecs and the idle detection that triggers heartbeats and closes on silence. */
  static void addCodecs(Channel channel) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addLast(new TrafficHandler());
    pipeline.addLast(
        new IdleStateHandler(
            WireLimits.SILENCE_TIMEOUT.toMillis(),
            WireLimits.HEARTBEAT_INTERVAL.toMillis(),
            0,
            TimeUnit.MILLISECONDS));
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            WireLimits.MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    pipeline.addLast(new ProtobufEncoder());
  }
}
