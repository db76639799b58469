package org.cuminrack.member;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminrack.generated.control.ControlReply;
import org.cuminrack.generated.control.ReplyStatus;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireGroup;
import org.cuminrack.wire.WireHandler;
import org.cuminrack.wire.WireServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ControlClientTest {
  private static final WireGroup GROUP = new WireGroup("eu", "main");
  private static final ByteString BODY = ByteString.copyFromUtf8("body");
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(500);
  private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";

  private final WireClient wire = new WireClient(GROUP);
  private final AtomicInteger callCount = new AtomicInteger();
  private WireHandler firstHandler = payload -> reply(ReplyStatus.OK, "");
  private WireHandler secondHandler = payload -> reply(ReplyStatus.OK, "");
  private final WireServer firstServer = server(payload -> firstHandler.handle(payload));
  private ControlClient client;
  private final WireServer secondServer = server(payload -> secondHandler.handle(payload));

  @BeforeEach
  void start() {
    firstServer.start();
    secondServer.start();
    wire.start();
    client =
        new ControlClient(
            wire, Map.of("a", address(firstServer), "b", address(secondServer)), Clock.system());
  }

  @AfterEach
  void stop() {
    wire.stop();
    firstServer.stop();
    secondServer.stop();
  }

  @Test
  void shouldFollowRedirectToLeader() {
    firstHandler = payload -> reply(ReplyStatus.NOT_LEADER, "b");

    assertThat(call(LONG_TIMEOUT).get()).isEqualTo(BODY.toByteArray());
    assertThat(call(LONG_TIMEOUT).get()).isEqualTo(BODY.toByteArray());
    assertThat(callCount.get()).isEqualTo(3);
  }

  @Test
  void shouldRetryUnknownOutcome() {
    firstHandler =
        payload -> reply(callCount.get() < 2 ? ReplyStatus.OUTCOME_UNKNOWN : ReplyStatus.OK, "");

    assertThat(call(LONG_TIMEOUT).isRight()).isTrue();
  }

  @Test
  void shouldReturnUnavailableWithoutLeader() {
    firstHandler = payload -> reply(ReplyStatus.NOT_LEADER, "");
    secondHandler = payload -> reply(ReplyStatus.NOT_LEADER, "");

    assertThat(call(SHORT_TIMEOUT).getLeft()).isInstanceOf(ControlFailure.Unavailable.class);
  }

  @Test
  void shouldReturnUnknownIfAnAttemptMayHaveBeenExecuted() {
    firstHandler = payload -> reply(ReplyStatus.OUTCOME_UNKNOWN, "");

    assertThat(call(SHORT_TIMEOUT).getLeft()).isInstanceOf(ControlFailure.Unknown.class);
  }

  @Test
  void shouldReturnUnknownWithoutResponse() {
    firstHandler = payload -> new CompletableFuture<>();

    assertThat(call(SHORT_TIMEOUT).getLeft()).isInstanceOf(ControlFailure.Unknown.class);
  }

  @Test
  void shouldTryNextVmIfOneIsUnreachable() {
    ControlClient clientWithUnreachableVm =
        new ControlClient(
            wire, Map.of("a", UNREACHABLE_ADDRESS, "b", address(secondServer)), Clock.system());

    assertThat(
            clientWithUnreachableVm.call(Method.CHANGE, new byte[0], LONG_TIMEOUT).join().isRight())
        .isTrue();
  }

  @Test
  void shouldNotRetryRefusedRequest() {
    firstHandler = payload -> reply(ReplyStatus.REFUSED, "");

    assertThat(call(LONG_TIMEOUT).getLeft()).isInstanceOf(ControlFailure.Refused.class);
    assertThat(callCount.get()).isEqualTo(1);
  }

  private Either<ControlFailure, byte[]> call(Duration timeout) {
    return client.call(Method.CHANGE, new byte[0], timeout).join();
  }

  private CompletableFuture<byte[]> reply(ReplyStatus status, String leader) {
    callCount.incrementAndGet();
    return CompletableFuture.completedFuture(
        ControlReply.newBuilder()
            .setStatus(status)
            .setLeader(leader)
            .setBody(BODY)
            .build()
            .toByteArray());
  }

  private static WireServer server(WireHandler handler) {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return new WireServer(anyPort, GROUP).serve(Method.CHANGE, handler);
  }

  private static String address(WireServer server) {
    return "127.0.0.1:" + server.port();
  }
}
