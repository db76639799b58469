package org.cuminrack.standin;

import static com.google.common.truth.Truth.assertThat;

import io.undertow.util.Methods;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cuminrack.http.HttpResponse;
import org.cuminrack.http.Json;
import org.cuminrack.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineServerTest {
  private static final String PROMPT = "a week of menus [[tokens=4]]";

  private final CountDownLatch crashed = new CountDownLatch(1);
  private EngineServer engine;
  private HttpProbe probe;

  @BeforeEach
  void setUp() {
    EngineOptions options =
        EngineOptions.of("engine-1", "dc-a", "meal-planner", List.of()).withStartsWarm(true);
    engine = EngineServer.of(options, Clock.system(), crashed::countDown);
    engine.start();
    probe = new HttpProbe(engine.address());
  }

  @AfterEach
  void tearDown() {
    probe.close();
    engine.stop();
  }

  @Test
  void shouldStreamEveryTokenAndTheEndEvent() {
    HttpResponse response = probe.send(probe.generationCall(PROMPT)).get();

    assertThat(HttpProbe.eventData(response)).containsExactlyElementsIn(allEvents(4)).inOrder();
    assertThat(response.headers().getFirst("X-Request-Id")).isEqualTo("r-1");
    assertThat(response.headers().getFirst("X-Boot-Id")).isNotEmpty();
  }

  @Test
  void shouldResumeAGenerationAfterItsConnectionBroke() {
    engine.setBehaviour(behaviour(Map.of("drop_after_tokens", 1)));
    HttpResponse partial = probe.send(probe.generationCall(PROMPT)).get();
    assertThat(HttpProbe.eventData(partial)).containsExactly(allEvents(4).get(0));
    engine.setBehaviour(Behaviour.normal());

    HttpResponse remainder =
        probe.get("/v1/generations/" + firstGenerationId() + "/events?after=1");

    assertThat(HttpProbe.eventData(remainder))
        .containsExactlyElementsIn(allEvents(4).subList(2, 5));
  }

  @Test
  void shouldAnswerGoneForALostGeneration() {
    probe.send(probe.generationCall(PROMPT));
    engine.setBehaviour(behaviour(Map.of("lose_generations", true)));

    HttpResponse gone = probe.get("/v1/generations/" + firstGenerationId() + "/events?after=-1");

    assertThat(gone.status()).isEqualTo(410);
    assertThat(probe.get("/v1/generations/other/events").status()).isEqualTo(404);
  }

  @Test
  void shouldDuplicateAndOmitEventsWhenConfigured() {
    engine.setBehaviour(behaviour(Map.of("duplicate_every", 2, "gap_every", 3)));

    HttpResponse response = probe.send(probe.generationCall(PROMPT)).get();

    List<String> events = allEvents(4);
    assertThat(HttpProbe.eventData(response))
        .containsExactly(
            events.get(0),
            events.get(1),
            events.get(1),
            events.get(3),
            events.get(3),
            events.get(4))
        .inOrder();
  }

  @Test
  void shouldAnswerWithAnotherRequestIdWhenCrossed() {
    engine.setBehaviour(behaviour(Map.of("crossed", true)));

    HttpResponse response = probe.send(probe.generationCall(PROMPT)).get();

    assertThat(response.headers().getFirst("X-Request-Id")).isNotEqualTo("r-1");
  }

  @Test
  void shouldRefuseNewWorkWhenConfigured() {
    engine.setBehaviour(behaviour(Map.of("refuse", true)));

    HttpResponse response = probe.send(probe.generationCall(PROMPT)).get();

    assertThat(response.status()).isEqualTo(503);
    assertThat(response.headers().getFirst("Retry-After")).isNotEmpty();
  }

  @Test
  void shouldRefuseACommandWithAnOldFencingNumber() {
    assertThat(probe.post("/v1/orders", command(7)).status()).isEqualTo(202);

    HttpResponse refused = probe.post("/v1/orders", command(6));

    assertThat(refused.status()).isEqualTo(409);
    assertThat(refused.text()).isEqualTo("{\"highest\":7}");
  }

  @Test
  void shouldStopACancelledGeneration() {
    engine.setBehaviour(behaviour(Map.of("drop_after_tokens", 1)));
    probe.send(probe.generationCall("long [[tokens=2000]]"));

    HttpResponse response =
        probe.send(probe.call(Methods.DELETE, "/v1/generations/" + firstGenerationId())).get();

    assertThat(response.status()).isEqualTo(204);
    assertThat(probe.get("/v1/status").text()).contains("\"running\":0");
  }

  @Test
  void shouldCrashOnAPoisonPrompt() throws Exception {
    probe.sendAsync(probe.generationCall("[[poison]] [[tokens=4]]"));

    assertThat(crashed.await(10, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void shouldNameTheInvalidFieldOfARequest() {
    HttpResponse response = probe.post("/v1/completions", Map.of("request_id", "r"));

    assertThat(response.status()).isEqualTo(400);
    assertThat(response.text()).contains("prompt: expected a text, found nothing");
  }

  private String firstGenerationId() {
    String status = probe.get("/v1/status").text();
    return Json.readTree(status.getBytes(StandardCharsets.UTF_8)).get().path("boot_id").asText()
        + "-1";
  }

  private static Behaviour behaviour(Map<String, Object> fields) {
    return Json.read(Json.bytes(fields), Behaviour.class).get();
  }

  private static Map<String, Object> command(long fencingNumber) {
    return Map.of(
        "kind",
        "load-model",
        "model",
        "planner",
        "version",
        "2",
        "role",
        "",
        "fencing_number",
        fencingNumber);
  }

  private static List<String> allEvents(int tokens) {
    OutputText text = OutputText.of(PROMPT);
    List<String> events = new ArrayList<>();
    for (int i = 0; i < tokens; i++) {
      events.add("{\"index\":" + i + ",\"text\":\"" + text.word(i) + "\"}");
    }
    events.add("{\"index\":" + tokens + ",\"finish_reason\":\"stop\"}");
    return events;
  }
}
