package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Methods;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.http.HttpCall;
import org.cuminrack.http.HttpClient;
import org.cuminrack.http.HttpResponse;
import org.cuminrack.http.HttpServer;
import org.cuminrack.http.Json;
import org.cuminrack.quorum.DiskRefusal;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireGroup;
import org.cuminrack.wire.WireServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OperatorApiTest {
  private static final String DRAIN_CHANGE =
      "{\"change_id\":\"1\",\"changes\":[{\"kind\":\"DATA_CENTRE\",\"name\":\"dc-a\","
          + "\"expected_revision\":0,\"object\":{\"name\":\"dc-a\",\"drained\":true}}]}";

  private final ControlGroup control = new ControlGroup();
  private final WireGroup group = new WireGroup("eu", "main");
  private final WireServer wireServer =
      new WireServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), group);
  private final WireClient wire = new WireClient(group);
  private volatile Optional<DiskRefusal> refusal = Optional.empty();
  private final DiskStates disks =
      new DiskStates(
          wire,
          () -> Map.of("a", "127.0.0.1:" + wireServer.port(), "b", "127.0.0.1:1"),
          () -> refusal);
  private final HttpServer server =
      new HttpServer(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          new OperatorApi(control, disks).handler(),
          1 << 20);
  private final HttpClient client = new HttpClient();

  @BeforeEach
  void start() {
    disks.register(wireServer);
    wireServer.start();
    wire.start();
    server.start();
    client.start();
  }

  @AfterEach
  void stop() {
    client.stop();
    server.stop();
    wire.stop();
    wireServer.stop();
  }

  @Test
  void shouldAcceptChange() {
    HttpResponse response = post(DRAIN_CHANGE);

    assertThat(response.status()).isEqualTo(200);
    assertThat(response.text()).isEqualTo("{\"verdict\":\"accepted\",\"revision\":2}");
  }

  @Test
  void shouldReturnCurrentObjectOnConflict() {
    post(DRAIN_CHANGE);

    HttpResponse response = post(DRAIN_CHANGE.replace("\"1\"", "\"2\""));

    assertThat(response.status()).isEqualTo(409);
    assertThat(response.text())
        .isEqualTo(
            "{\"verdict\":\"conflict\",\"key\":\"data-centre/dc-a\",\"expected\":0,\"found\":2,"
                + "\"present\":{\"name\":\"dc-a\",\"drained\":true}}");
  }

  @Test
  void shouldReturnValidationErrorOfChange() {
    HttpResponse response = post(DRAIN_CHANGE.replace("DATA_CENTRE", "ZONE"));

    assertThat(response.status()).isEqualTo(400);
    assertThat(response.text())
        .isEqualTo(
            "{\"verdict\":\"invalid\",\"detail\":\"kind: expected a kind of object, found 'ZONE'\"}");
  }

  @Test
  void shouldReturnUnknownVerdictWhenReplyIsLost() {
    control.log.setLosesReplies(true);
    HttpResponse response = post(DRAIN_CHANGE);
    control.log.setLosesReplies(false);

    assertThat(response.status()).isEqualTo(503);
    assertThat(json(response).get("verdict").asText()).isEqualTo("unknown");
    assertThat(json(post(DRAIN_CHANGE)).get("verdict").asText()).isEqualTo("accepted");
  }

  @Test
  void shouldReturnConfiguration() {
    post(DRAIN_CHANGE);

    assertThat(get("/v1/configuration").text())
        .isEqualTo(
            "{\"revision\":2,\"objects\":[{\"kind\":\"DATA_CENTRE\",\"revision\":2,"
                + "\"object\":{\"name\":\"dc-a\",\"drained\":true}}]}");
  }

  @Test
  void shouldReturnWhetherRevisionIsInForce() {
    post(DRAIN_CHANGE);
    control.tick();

    assertThat(get("/v1/in-force?revision=2&wait_millis=0").text())
        .isEqualTo("{\"revision\":2,\"in_force\":true,\"in_force_revision\":2,\"waiting_for\":[]}");
  }

  @Test
  void shouldReturnLeaderInStatus() {
    assertThat(json(get("/v1/status")).get("leader").asText()).isEqualTo("a");
  }

  @Test
  void shouldReturnTheStateOfEachDiskInStatusAlsoWithoutALeader() {
    assertThat(json(get("/v1/status")).at("/disks/a/state").asText()).isEqualTo("accepts-writes");

    refusal = Optional.of(new DiskRefusal(Instant.EPOCH, "vote", "No space left on device"));
    control.setUnreachable(true);
    HttpResponse response = get("/v1/status");

    assertThat(response.status()).isEqualTo(503);
    assertThat(json(response).at("/disks/a").toString())
        .isEqualTo(
            "{\"state\":\"refuses-writes\",\"since\":\"1970-01-01T00:00:00Z\","
                + "\"write\":\"vote\",\"detail\":\"No space left on device\"}");
    assertThat(json(response).at("/disks/b/state").asText()).isEqualTo("unknown");
  }

  @Test
  void shouldRejectNonNumericRevision() {
    assertThat(get("/v1/in-force?revision=x").status()).isEqualTo(400);
  }

  private HttpResponse post(String body) {
    JsonNode json = Json.readTree(body.getBytes(StandardCharsets.UTF_8)).get();
    return client
        .send(HttpCall.of(Methods.POST, address(), "/v1/changes").withJson(json))
        .join()
        .get();
  }

  private HttpResponse get(String path) {
    return client.send(HttpCall.of(Methods.GET, address(), path)).join().get();
  }

  private String address() {
    return "127.0.0.1:" + server.port();
  }

  private static JsonNode json(HttpResponse response) {
    return Json.readTree(response.body().toByteArray()).get();
  }
}
