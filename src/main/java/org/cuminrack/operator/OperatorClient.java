package org.cuminrack.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Methods;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.Configuration;
import org.cuminrack.config.VersionedObject;
import org.cuminrack.http.HttpCall;
import org.cuminrack.http.HttpClient;
import org.cuminrack.http.HttpFailure;
import org.cuminrack.http.HttpResponse;
import org.cuminrack.http.Json;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.time.Clock;

/**
 * Calls the operator API of the control VMs. Each call tries the control VMs in turn until one
 * answers successfully or the timeout expires. Errors are human-readable.
 */
public final class OperatorClient implements ManagedService {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration ROUND_INTERVAL = Duration.ofMillis(200);
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int CONFLICT = 409;

  private record ChangeBody(String changeId, List<ObjectChange> changes) {}

  private final List<String> addresses;
  private final Duration timeout;
  private final Clock clock;
  private final HttpClient http = new HttpClient();

  /**
   * Creates a client of a control group.
   *
   * @param addresses HTTP addresses of the control VMs
   * @param timeout how long one operation may take over all control VMs
   */
  public OperatorClient(List<String> addresses, Duration timeout, Clock clock) {
    this.addresses = List.copyOf(addresses);
    this.timeout = timeout;
    this.clock = clock;
  }

  @Override
  public void start() {
    http.start();
  }

  @Override
  public void stop() {
    http.stop();
  }

  /** Sends a change; a retry with the same change id returns the first reply. */
  public ChangeReply change(String changeId, List<ObjectChange> changes) {
    ChangeBody body = new ChangeBody(changeId, changes);
    return callAny(
            address -> HttpCall.of(Methods.POST, address, "/v1/changes").withJson(body),
            OperatorClient::changeReply)
        .getOrElseGet(ChangeReply.Unknown::new);
  }

  /** Returns the current configuration. */
  public Either<String, Configuration> configuration() {
    return callAny(
        address -> HttpCall.of(Methods.GET, address, "/v1/configuration"),
        response -> response.status() == OK ? OperatorClient.configuration(response) : null);
  }

  /** Waits for a revision to be in force and returns the status, at the latest after maxWait. */
  public Either<String, InForceStatus> inForce(long revision, Duration maxWait) {
    String path = "/v1/in-force?revision=" + revision + "&wait_millis=" + maxWait.toMillis();
    return callAny(
        address -> HttpCall.of(Methods.GET, address, path).withTimeout(CALL_TIMEOUT.plus(maxWait)),
        response ->
            response.status() == OK
                ? Json.read(response.body().toByteArray(), InForceStatus.class).getOrNull()
                : null);
  }

  /** Returns the state of the control group and the entries, as JSON. */
  public Either<String, JsonNode> status() {
    return callAny(
        address -> HttpCall.of(Methods.GET, address, "/v1/status"),
        response ->
            response.status() == OK
                ? Json.readTree(response.body().toByteArray()).getOrNull()
                : null);
  }

  /** Calls the control VMs in turn until the reader returns a value other than null. */
  private <T> Either<String, T> callAny(
      Function<String, HttpCall> call, Function<HttpResponse, T> reader) {
    long endNanos = clock.nanoTime() + timeout.toNanos();
    String lastFailure = "no control address given";
    do {
      for (String address : addresses) {
        Either<HttpFailure, HttpResponse> response = http.send(call.apply(address)).join();
        T value = response.isRight() ? reader.apply(response.get()) : null;
        if (value != null) {
          return Either.right(value);
        }
        lastFailure = address + ": " + response.fold(Object::toString, OperatorClient::describe);
      }
    } while (clock.nanoTime() < endNanos && pauseBetweenRounds());
    return Either.left(lastFailure);
  }

  /** Returns whether the pause ended without an interrupt. */
  private static boolean pauseBetweenRounds() {
    try {
      Thread.sleep(ROUND_INTERVAL.toMillis());
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private static String describe(HttpResponse response) {
    return "status " + response.status() + " " + response.text();
  }

  private static ChangeReply changeReply(HttpResponse response) {
    JsonNode body = Json.readTree(response.body().toByteArray()).getOrNull();
    if (body == null) {
      return null;
    }
    return switch (response.status()) {
      case OK -> new ChangeReply.Accepted(body.path("revision").asLong());
      case CONFLICT ->
          new ChangeReply.Conflict(
              body.path("key").asText(),
              body.path("expected").asLong(),
              body.path("found").asLong(),
              body.path("present").toString());
      case BAD_REQUEST ->
          new ChangeReply.Invalid(
              body.hasNonNull("detail") ? body.get("detail").asText() : body.toString());
      default -> null;
    };
  }

  private static Configuration configuration(HttpResponse response) {
    JsonNode body = Json.readTree(response.body().toByteArray()).getOrNull();
    if (body == null) {
      return null;
    }
    List<VersionedObject> objects = new ArrayList<>();
    for (JsonNode each : body.path("objects")) {
      ConfigKind kind = ConfigKind.valueOf(each.path("kind").asText());
      ConfigObject object = Json.read(Json.bytes(each.path("object")), kind.type()).get();
      objects.add(new VersionedObject(object, each.path("revision").asLong()));
    }
    return Configuration.of(body.path("revision").asLong(), objects);
  }
}
