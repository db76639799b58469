package org.cuminrack.http;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpClientTest {
  private static final int MAX_BODY_BYTES = 1 << 20;

  record Greeting(String firstName) {}

  private final HttpServer server =
      new HttpServer(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          HttpClientTest::route,
          MAX_BODY_BYTES);
  private final HttpClient client = new HttpClient();

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
  void shouldSendAndReceiveJson() {
    HttpCall call = HttpCall.of(Methods.POST, address(), "/greet").withJson(new Greeting("Eva"));

    HttpResponse response =
        client.send(call).join().getOrElseThrow(failure -> new AssertionError(failure.toString()));

    assertThat(response.status()).isEqualTo(200);
    assertThat(response.text()).isEqualTo("{\"first_name\":\"Hello Eva\"}");
  }

  @Test
  void shouldSendAndReceiveALargeBody() {
    ByteString body = ByteString.copyFrom(new byte[500_000]);

    HttpResponse response =
        client.send(HttpCall.of(Methods.POST, address(), "/echo").withBody(body)).join().get();

    assertThat(response.body()).isEqualTo(body);
  }

  @Test
  void shouldRejectAJsonStringForAnObject() {
    HttpCall call = HttpCall.of(Methods.POST, address(), "/greet").withJson("Eva");

    HttpResponse response =
        client.send(call).join().getOrElseThrow(failure -> new AssertionError(failure.toString()));

    assertThat(response.status()).isEqualTo(400);
    assertThat(response.text()).contains("urn:cuminrack:problem:bad-request");
  }

  @Test
  void shouldFailAfterTheTimeout() {
    HttpCall call =
        HttpCall.of(Methods.GET, address(), "/silent").withTimeout(Duration.ofMillis(50));

    assertThat(client.send(call).join().getLeft())
        .isEqualTo(new HttpFailure.NoAnswer(address(), "no answer in 50 ms"));
  }

  @Test
  void shouldReportUnreachableWhenNothingListens() {
    String closedAddress = address();
    server.stop();

    HttpFailure failure =
        client.send(HttpCall.of(Methods.GET, closedAddress, "/")).join().getLeft();

    assertThat(failure).isInstanceOf(HttpFailure.Unreachable.class);
  }

  private String address() {
    return "127.0.0.1:" + server.port();
  }

  private static void route(HttpServerExchange exchange) throws Exception {
    switch (exchange.getRequestPath()) {
      case "/greet" ->
          JsonBodyHandler.reading(
                  Greeting.class,
                  (request, body) ->
                      HttpResponses.json(request, 200, new Greeting("Hello " + body.firstName())))
              .handleRequest(exchange);
      case "/echo" ->
          exchange
              .getRequestReceiver()
              .receiveFullBytes(
                  (request, body) -> request.getResponseSender().send(ByteBuffer.wrap(body)));
      default -> exchange.dispatch(() -> {});
    }
  }
}
