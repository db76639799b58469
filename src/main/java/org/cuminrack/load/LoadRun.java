package org.cuminrack.load;

import io.undertow.util.Methods;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cuminrack.http.HttpCall;
import org.cuminrack.http.HttpClient;
import org.cuminrack.time.Clock;

/**
 * Sends a profile's load to entries in an open loop: the schedule does not depend on the responses.
 */
public final class LoadRun {
  private static final Duration COMPLETION_TIMEOUT = Duration.ofMinutes(2);
  private static final int PERCENT = 100;
  private static final long NANOS_PER_MICRO = 1_000;

  private final LoadProfile profile;
  private final LoadOptions options;
  private final Clock clock;
  private final PrintStream out;
  private final ClientConnections connections = new ClientConnections();
  private final HttpClient client = new HttpClient();
  private final ConcurrentLinkedQueue<CompletableFuture<StreamedCall>> calls =
      new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<CompletableFuture<?>> orders = new ConcurrentLinkedQueue<>();
  private final OrderCounts orderCounts = new OrderCounts();
  private final SplittableRandom random;
  private long startNanos;
  private int nextEntry;
  private int lastOrderNumber;

  private LoadRun(LoadProfile profile, LoadOptions options, Clock clock, PrintStream out) {
    this.profile = profile;
    this.options = options;
    this.clock = clock;
    this.out = out;
    this.random = new SplittableRandom(options.seed());
  }

  /** Returns a run that prints its report to a stream. */
  public static LoadRun of(LoadProfile profile, LoadOptions options, Clock clock, PrintStream out) {
    return new LoadRun(profile, options, clock, out);
  }

  /**
   * Sends the load, waits for the responses and prints the report; returns false if a response is
   * wrong or the run is interrupted.
   */
  public boolean run() {
    List<PlannedRequest> plan =
        Workload.of(profile, options.seed())
            .plan(options.generationsPerSecond(), options.arrivalPeriod());
    connections.start();
    client.start();
    ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    try {
      startNanos = clock.nanoTime();
      for (PlannedRequest each : plan) {
        scheduler.schedule(() -> send(each), each.arrivalNanos(), TimeUnit.NANOSECONDS);
      }
      scheduler.shutdown();
      if (!scheduler.awaitTermination(
          options.arrivalPeriod().plus(COMPLETION_TIMEOUT).toMillis(), TimeUnit.MILLISECONDS)) {
        out.println("some requests were not sent: the load tool could not keep its schedule");
      }
      List<StreamedCall> ended = awaitResponses();
      return report(ended, calls.size());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      scheduler.shutdownNow();
      connections.stop();
      client.stop();
    }
  }

  private void send(PlannedRequest request) {
    StreamedCall call = new StreamedCall(request, nextEntry(), () -> clock.nanoTime() - startNanos);
    calls.add(call.send(connections));
    for (OrderTraffic each : profile.orders()) {
      sendOrders(each);
    }
  }

  private void sendOrders(OrderTraffic traffic) {
    int count = traffic.perHundredGenerations() / PERCENT;
    count += random.nextInt(PERCENT) < traffic.perHundredGenerations() % PERCENT ? 1 : 0;
    for (int i = 0; i < count; i++) {
      boolean lookup = random.nextInt(PERCENT) < traffic.lookupPercent();
      sendOrder(traffic.route(), lookup);
    }
  }

  private void sendOrder(String route, boolean lookup) {
    lastOrderNumber++;
    String path = "/" + route + (lookup ? "/stock/" : "/orders/") + lastOrderNumber;
    HttpCall call = HttpCall.of(lookup ? Methods.GET : Methods.POST, nextEntry(), path);
    call.withHeader("X-Organisation", profile.organisations().get(0).name());
    if (!lookup) {
      call.withHeader(
          "Idempotency-Key", "load-" + options.seed() + "-" + startNanos + "-" + lastOrderNumber);
    }
    HttpCall callWithBody = lookup ? call : call.withJson(Map.of("item", lastOrderNumber));
    orderCounts.recordSent();
    long sentNanos = clock.nanoTime();
    orders.add(
        client
            .send(callWithBody)
            .thenAccept(
                response ->
                    response
                        .peek(
                            each ->
                                orderCounts.recordResponse(
                                    each.status(),
                                    (clock.nanoTime() - sentNanos) / NANOS_PER_MICRO))
                        .peekLeft(ignored -> orderCounts.recordFailure())));
  }

  private String nextEntry() {
    return options.entries().get(nextEntry++ % options.entries().size());
  }

  private List<StreamedCall> awaitResponses() throws InterruptedException {
    CompletableFuture<?> all = CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0]));
    try {
      all.get(COMPLETION_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      CompletableFuture.allOf(orders.toArray(new CompletableFuture<?>[0])).join();
    } catch (TimeoutException e) {
      out.println("some responses had not ended after " + COMPLETION_TIMEOUT.toSeconds() + " s");
    } catch (ExecutionException e) {
      throw new IllegalStateException("a call completed exceptionally", e);
    }
    return calls.stream().filter(CompletableFuture::isDone).map(CompletableFuture::join).toList();
  }

  private boolean report(List<StreamedCall> ended, int sent) {
    LoadReport report =
        LoadReport.of(
            RequestMetrics.of(ended.stream().map(StreamedCall::record).toList()),
            options.arrivalPeriod());
    List<String> errors =
        ended.stream().map(StreamedCall::error).filter(each -> !each.isEmpty()).toList();
    out.print(report.text());
    out.println(orderCounts.text());
    out.printf("unended=%d bad_answers=%d%n", sent - ended.size(), errors.size());
    errors.stream().limit(5).forEach(each -> out.println("bad answer: " + each));
    report.write(options.reportFolder());
    return errors.isEmpty();
  }
}
