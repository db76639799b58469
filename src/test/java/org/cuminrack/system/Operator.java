package org.cuminrack.system;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.UUID;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.operator.ChangeReply;
import org.cuminrack.operator.ConfigurationDiff;
import org.cuminrack.operator.OperatorClient;
import org.cuminrack.operator.Organisations;
import org.cuminrack.operator.Plan;
import org.cuminrack.operator.Routes;
import org.cuminrack.operator.Services;
import org.cuminrack.time.Clock;

/** Applies configuration changes to a test cluster. */
final class Operator implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final OperatorClient client;

  Operator(List<String> controlAddresses) {
    client = new OperatorClient(controlAddresses, TIMEOUT, Clock.system());
    client.start();
  }

  OperatorClient client() {
    return client;
  }

  /** Returns a plan with one organisation, one service of each kind and a route to each. */
  static Plan samplePlan() {
    return Plan.empty()
        .with(Organisations.organisation("app").weight(4))
        .with(Services.generations("meal-planner"))
        .with(Services.plain("shop"))
        .with(Routes.route("planner").to("meal-planner").timeout(Duration.ofSeconds(20)))
        .with(Routes.route("shop").idempotent("GET").timeout(Duration.ofSeconds(10)));
  }

  /** Applies objects, waits until they are in force on every entry and returns the revision. */
  long apply(Collection<ConfigObject> objects) {
    long revision = submit(objects);
    Conditions.await(
        "revision " + revision + " in force",
        TIMEOUT,
        () -> client.inForce(revision, Duration.ofSeconds(1)).get().inForce());
    return revision;
  }

  /** Applies objects and returns the revision at which they were accepted. */
  long submit(Collection<ConfigObject> objects) {
    ChangeReply reply =
        client.change(
            UUID.randomUUID().toString(),
            ConfigurationDiff.between(client.configuration().get(), objects, false));
    if (reply instanceof ChangeReply.Accepted accepted) {
      return accepted.revision();
    }
    throw new AssertionError("expected acceptance, found " + reply);
  }

  @Override
  public void close() {
    client.stop();
  }
}
