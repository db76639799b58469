package org.cuminrack.wire;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Netty goes on without an event loop that an error has ended. */
class EventLoopsTest {
  private final CompletableFuture<String> failure = new CompletableFuture<>();
  private final EventLoops loops = new EventLoops("test", (part, cause) -> failure.complete(part));

  @Test
  void shouldReportALoopThatEndsWhileTheOthersRun() {
    loops.start();
    EventLoop loop = loops.group().next();

    loop.shutdownGracefully();

    assertThat(failure.join()).isEqualTo("test");
    loops.stop();
  }

  @Test
  void shouldNotReportAStop() {
    loops.start();
    EventLoop loop = loops.group().next();

    loops.stop();

    assertThat(loop.isTerminated()).isTrue();
    assertThat(failure.isDone()).isFalse();
  }
}
