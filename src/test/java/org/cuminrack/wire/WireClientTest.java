package org.cuminrack.wire;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WireClientTest {
  private static final WireGroup GROUP = new WireGroup("eu", "main");
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(10);
  private static final byte[] HELLO = "hello".getBytes(StandardCharsets.UTF_8);

  private final WireServer server =
      new WireServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), GROUP)
          .serve(Method.DUMP, CompletableFuture::completedFuture)
          .serve(Method.CHANGE, payload -> new CompletableFuture<>())
          .serve(Method.ADMIT, payload -> failed("full"));
  private final WireClient client = new WireClient(GROUP);

  @BeforeEach
  void start() {
    server.start();
    client.start();
  }

  @AfterEach
  void stop() {
    client.stop();
    server.stop();
  }

  @Test
  void shouldReturnTheResponse() {
    Either<WireFailure, byte[]> response = call(Method.DUMP, LONG_TIMEOUT);

    assertThat(response.get()).isEqualTo(HELLO);
  }

  @Test
  void shouldReportARejectionWithItsReason() {
    assertThat(call(Method.ADMIT, LONG_TIMEOUT).getLeft())
        .isEqualTo(new WireFailure.Rejected(address(), "full"));
  }

  @Test
  void shouldRejectAMethodWithoutAHandler() {
    assertThat(call(Method.HAND_OVER, LONG_TIMEOUT).getLeft())
        .isEqualTo(new WireFailure.Rejected(address(), "no method 32 here"));
  }

  @Test
  void shouldFailAfterTheTimeout() {
    assertThat(call(Method.CHANGE, Duration.ofMillis(20)).getLeft())
        .isEqualTo(new WireFailure.NoAnswer(address(), "no answer in 20 ms"));
  }

  @Test
  void shouldReportUnreachableWhenNothingListens() {
    String closedAddress = address();
    server.stop();

    assertThat(client.call(closedAddress, Method.DUMP, HELLO, LONG_TIMEOUT).join().getLeft())
        .isInstanceOf(WireFailure.Unreachable.class);
  }

  @Test
  void shouldRejectCallsFromAnotherGroup() {
    WireClient otherGroupClient = new WireClient(new WireGroup("us", "main"));
    otherGroupClient.start();
    try {
      WireFailure failure =
          otherGroupClient.call(address(), Method.DUMP, HELLO, LONG_TIMEOUT).join().getLeft();

      assertThat(failure).isInstanceOf(WireFailure.Rejected.class);
    } finally {
      otherGroupClient.stop();
    }
  }

  private Either<WireFailure, byte[]> call(Method method, Duration timeout) {
    return client.call(address(), method, HELLO, timeout).join();
  }

  private String address() {
    return "127.0.0.1:" + server.port();
  }

  private static CompletableFuture<byte[]> failed(String detail) {
    return CompletableFuture.failedFuture(new IllegalStateException(detail));
  }
}
