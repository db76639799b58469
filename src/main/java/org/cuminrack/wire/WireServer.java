package org.cuminrack.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminrack.lifecycle.ManagedService;

/** Listens for calls from other cuminrack processes and dispatches them to the method's handler. */
public final class WireServer implements ManagedService {
  private final InetSocketAddress address;
  private final WireGroup group;
  private final Map<Integer, WireHandler> handlers = new ConcurrentHashMap<>();
  private final EventLoops loops = new EventLoops("wire-server");
  private Channel listener;

  public WireServer(InetSocketAddress address, WireGroup group) {
    this.address = address;
    this.group = group;
  }

  /** Registers a method's handler; call before {@link #start()}. */
  public WireServer serve(Method method, WireHandler handler) {
    handlers.put(method.number(), handler);
    return this;
  }

  @Override
  public void start() {
    loops.start();
    ServerBootstrap bootstrap = new ServerBootstrap();
    bootstrap.group(loops.group()).channel(NioServerSocketChannel.class);
    bootstrap.option(ChannelOption.SO_REUSEADDR, true);
    bootstrap.childOption(ChannelOption.TCP_NODELAY, true);
    bootstrap.childHandler(
        new ChannelInitializer<SocketChannel>() {
          @Override
          protected void initChannel(SocketChannel channel) {
            WirePipeline.addCodecs(channel);
            channel.pipeline().addLast(new HeartbeatHandler(group));
            channel.pipeline().addLast(new ServerCallHandler(group, handlers));
          }
        });
    ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      loops.stop();
      throw new IllegalStateException(
          "wire_address: "
              + address.getHostString()
              + ":"
              + address.getPort()
              + ": "
              + bound.cause().getMessage());
    }
    listener = bound.channel();
  }

  /** Returns the bound port, which differs from the requested one if that was 0. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  @Override
  public void stop() {
    if (loops.group() == null) {
      return;
    }
    listener.close().syncUninterruptibly();
    loops.stop();
  }
}
