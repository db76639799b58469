package org.cuminrack.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cuminrack.generated.fleet.WatchAnswer;
import org.cuminrack.system.FreePorts;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireGroup;
import org.cuminrack.wire.WireServer;

/**
 * A control VM that stores shared announcements, and answers one watch call as the test says. It
 * fails calls before that and holds those afterwards.
 */
final class FakeControlVm implements AutoCloseable {
  private static final byte[] EMPTY_REPLY = {};

  private final int port = FreePorts.port();
  private final WireServer server;
  private final CountDownLatch shared = new CountDownLatch(1);
  private final CountDownLatch called = new CountDownLatch(1);
  private final CountDownLatch answerHandled = new CountDownLatch(1);
  private WatchAnswer answer;
  private boolean answered;

  FakeControlVm(WireGroup group) {
    server = new WireServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), group);
    server.serve(Method.WATCH_FLEET, payload -> watch());
    server.serve(
        Method.SHARE_UPSTREAMS,
        payload -> {
          shared.countDown();
          return CompletableFuture.completedFuture(EMPTY_REPLY);
        });
    server.start();
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Answers the next watch call and waits until the gateway has handled it and calls again. */
  void answer(WatchAnswer next) throws InterruptedException {
    synchronized (this) {
      answer = next;
    }
    if (!answerHandled.await(5, TimeUnit.SECONDS)) {
      throw new AssertionError("the gateway did not call again");
    }
  }

  /** Returns whether a gateway calls this VM, after a limited wait. */
  boolean isCalled() throws InterruptedException {
    return called.await(5, TimeUnit.SECONDS);
  }

  /** Returns whether announcements are shared with this VM, after a limited wait. */
  boolean isSharedTo() throws InterruptedException {
    return shared.await(5, TimeUnit.SECONDS);
  }

  private synchronized CompletableFuture<byte[]> watch() {
    called.countDown();
    if (answered) {
      answerHandled.countDown();
      return new CompletableFuture<>();
    }
    if (answer == null) {
      return CompletableFuture.failedFuture(new IllegalStateException("no answer yet"));
    }
    answered = true;
    return CompletableFuture.completedFuture(answer.toByteArray());
  }

  static WatchAnswer.Builder current(long votersIndex, FakeControlVm... voters) {
    return WatchAnswer.newBuilder()
        .setControlBoot(1)
        .setStateCurrent(true)
        .setVotersIndex(votersIndex)
        .addAllControlAddresses(List.of(voters).stream().map(FakeControlVm::address).toList());
  }

  @Override
  public void close() {
    server.stop();
  }
}
