package org.cuminrack.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import io.undertow.util.Methods;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.cuminrack.http.HttpCall;
import org.cuminrack.http.HttpClient;
import org.cuminrack.http.HttpFailure;
import org.cuminrack.http.HttpResponse;
import org.cuminrack.http.Json;
import org.cuminrack.operator.ChangeReply;
import org.cuminrack.operator.ConfigurationDiff;
import org.cuminrack.operator.InForceStatus;
import org.cuminrack.operator.OperatorClient;
import org.cuminrack.operator.Organisations;
import org.cuminrack.operator.Plan;
import org.cuminrack.operator.Routes;
import org.cuminrack.operator.Services;
import org.cuminrack.time.Clock;

/**
 * Demonstrates a small cluster on loopback: an operator applies a configuration, upstreams announce
 * themselves, a caller looks up an entry and streams a generation, and another sends an order
 * twice.
 */
public final class Demo {
  private static final Duration STEP_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final String ORDER_KEY = "order-1";
  private static final int OK = 200;

  private record Completion(
      String model, String prompt, int maxTokens, String priority, boolean stream) {}

  private final DemoCluster cluster;
  private final PrintStream out;
  private final HttpClient http = new HttpClient();

  private Demo(Path folder, PrintStream out) {
    this.cluster = new DemoCluster(folder);
    this.out = out;
  }

  /** Runs the demo in an empty folder, prints each step and returns whether all steps succeeded. */
  public static boolean run(Path folder, PrintStream out) {
    return new Demo(folder, out).run();
  }

  private boolean run() {
    cluster.start();
    http.start();
    try {
      return applyConfiguration() && streamGeneration() && sendOrderTwice();
    } finally {
      http.stop();
      cluster.stop();
    }
  }

  private boolean applyConfiguration() {
    Plan plan =
        Plan.empty()
            .with(Organisations.organisation("parents").weight(4))
            .with(Services.generations("meal-planner"))
            .with(Services.plain("shop"))
            .with(Routes.route("planner").to("meal-planner"))
            .with(Routes.route("shop").idempotent("GET"));
    out.println("# the operator applies:\n" + plan.toYaml());
    OperatorClient operator =
        new OperatorClient(List.of(cluster.controlAddress()), STEP_TIMEOUT, Clock.system());
    operator.start();
    try {
      ChangeReply reply =
          operator.change(
              UUID.randomUUID().toString(),
              ConfigurationDiff.between(operator.configuration().get(), plan.objects(), false));
      out.println("# control answers: " + reply);
      return reply instanceof ChangeReply.Accepted accepted
          && awaitInForce(operator, accepted.revision());
    } finally {
      operator.stop();
    }
  }

  private boolean awaitInForce(OperatorClient operator, long revision) {
    Either<String, InForceStatus> status = operator.inForce(revision, STEP_TIMEOUT);
    out.println(
        "# in force everywhere: " + status.fold(failure -> failure, InForceStatus::inForce));
    return status.isRight() && status.get().inForce();
  }

  private boolean streamGeneration() {
    String entry = lookUpEntry().orElse(null);
    if (entry == null) {
      return false;
    }
    out.println("# a caller asks for an address, is told " + entry + ", and streams:");
    Completion request =
        new Completion("planner", "a week of menus [[tokens=40]]", 40, "standard", true);
    HttpCall call =
        withCallerHeaders(HttpCall.of(Methods.POST, entry, "/v1/completions").withJson(request));
    Optional<HttpResponse> response =
        retry(
            () -> {
              EventPrinter printer = new EventPrinter(out);
              return okResponse(http.stream(call, printer::accept).join());
            });
    out.println();
    return response.isPresent();
  }

  private Optional<String> lookUpEntry() {
    return retry(
        () -> {
          HttpCall call = HttpCall.of(Methods.GET, cluster.entryAddress(), "/v1/entries");
          return okResponse(http.send(call).join())
              .flatMap(response -> Json.readTree(response.body().toByteArray()).toJavaOptional())
              .map(tree -> tree.path("entries").path(0))
              .filter(JsonNode::isTextual)
              .map(JsonNode::asText);
        });
  }

  private boolean sendOrderTwice() {
    out.println("# another places an order, and sends it again as if the answer had been lost:");
    for (int i = 0; i < 2; i++) {
      HttpCall call =
          withCallerHeaders(HttpCall.of(Methods.POST, cluster.entryAddress(), "/shop/orders"))
              .withHeader("Idempotency-Key", ORDER_KEY)
              .withBody(ByteString.copyFrom("{\"pouches\":12}", StandardCharsets.UTF_8));
      Optional<HttpResponse> response = retry(() -> okResponse(http.send(call).join()));
      out.println(response.map(HttpResponse::text).orElse("no answer"));
    }
    Map<String, Integer> executions = cluster.executions();
    out.println("# the shop ran, by key: " + executions);
    return executions.values().stream().allMatch(count -> count == 1) && executions.size() == 1;
  }

  private static HttpCall withCallerHeaders(HttpCall call) {
    return call.withHeader("X-Organisation", "parents").withTimeout(STEP_TIMEOUT);
  }

  private static Optional<HttpResponse> okResponse(Either<HttpFailure, HttpResponse> response) {
    return response.toJavaOptional().filter(each -> each.status() == OK);
  }

  /** Retries a step, since the processes of the cluster may not have discovered each other yet. */
  private static <T> Optional<T> retry(Supplier<Optional<T>> step) {
    long endNanos = System.nanoTime() + STEP_TIMEOUT.toNanos();
    Optional<T> result = step.get();
    while (result.isEmpty() && System.nanoTime() < endNanos) {
      LockSupport.parkNanos(POLL_INTERVAL.toNanos());
      result = step.get();
    }
    return result;
  }
}
