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
    HttpResponse response = probe.send(probe.generation(PROMPT)).get();

    assertThat(HttpProbe.data(response)).containsExactlyElementsIn(allEvents(4)).inOrder();
    assertThat(response.headers().getFirst("X-Request-Id")).isEqualTo("r-1");
    assertThat(response.headers().getFirst("X-Boot-Id")).isNotEmpty();
  }

  @Test
  void shouldResumeAGenerationAfterItsConnectionBroke() {
    engine.setBehaviour(behaviour(Map.of("drop_after_tokens", 1)));
    HttpResponse cut = probe.send(probe.generation(PROMPT)).get();
    assertThat(HttpProbe.data(cut)).containsExactly(allEvents(4).get(0));
    engine.setBehaviour(Behaviour.normal());

    HttpResponse rest = probe.get("/v1/generations/" + firstGeneration() + "/events?after=1");

    assertThat(HttpProbe.data(rest)).containsExactlyElementsIn(allEvents(4).subList(2, 5));
  }

  @Test
  void shouldAnswerGoneForALostGeneration() {
    probe.send(probe.generation(PROMPT));
    engine.setBehaviour(behaviour(Map.of("lose_generations", true)));

    HttpResponse gone = probe.get("/v1/generations/" + firstGeneration() + "/events?after=-1");

    assertThat(gone.status()).isEqualTo(410);
    assertThat(probe.get("/v1/generations/other/events").status()).isEqualTo(404);
  }

  @Test
  void shouldDuplicateAndOmitEventsWhenConfigured() {
    engine.setBehaviour(behaviour(Map.of("duplicate_every", 2, "gap_every", 3)));

    HttpResponse response = probe.send(probe.generation(PROMPT)).get();

    List<String> whole = allEvents(4);
    assertThat(HttpProbe.data(response))
        .containsExactly(
            whole.get(0), whole.get(1), whole.get(1), whole.get(3), whole.get(3), whole.get(4))
        .inOrder();
  }

  @Test
  void shouldAnswerWithAnotherRequestIdWhenCrossed() {
    engine.setBehaviour(behaviour(Map.of("crossed", true)));

    HttpResponse response = probe.send(probe.generation(PROMPT)).get();

    assertThat(response.headers().getFirst("X-Request-Id")).isNotEqualTo("r-1");
  }

  @Test
  void shouldRefuseNewWorkWhenConfigured() {
    engine.setBehaviour(behaviour(Map.of("refuse", true)));

    HttpResponse response = probe.send(probe.generation(PROMPT)).get();

    assertThat(response.status()).isEqualTo(503);
    assertThat(response.headers().getFirst("Retry-After")).isNotEmpty();
  }

  @Test
  void shouldRefuseACommandWithAnOldFencingNumber() {
    assertThat(probe.post("/v1/orders", command(7)).status()).isEqualTo(202);

    HttpResponse old = probe.post("/v1/orders", command(6));

    assertThat(old.status()).isEqualTo(409);
    assertThat(old.text()).isEqualTo("{\"highest\":7}");
  }

  @Test
  void shouldStopACancelledGeneration() {
    engine.setBehaviour(behaviour(Map.of("drop_after_tokens", 1)));
    probe.send(probe.generation("long [[tokens=2000]]"));

    HttpResponse response =
        probe.send(probe.call(Methods.DELETE, "/v1/generations/" + firstGeneration())).get();

    assertThat(response.status()).isEqualTo(204);
    assertThat(probe.get("/v1/status").text()).contains("\"running\":0");
  }

  @Test
  void shouldCrashOnAPoisonPrompt() throws Exception {
    probe.begin(probe.generation("[[poison]] [[tokens=4]]"));

    assertThat(crashed.await(10, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void shouldNameTheInvalidFieldOfARequest() {
    HttpResponse response = probe.post("/v1/completions", Map.of("request_id", "r"));

    assertThat(response.status()).isEqualTo(400);
    assertThat(response.text()).contains("prompt: expected a text, found nothing");
  }

  private String firstGeneration() {
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
