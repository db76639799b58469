package review2;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A small deployment that serves: control, gateways, servers and the first manifest. */
final class Small implements AutoCloseable {
  final Record record;
  final Deployment deployment = new Deployment();
  final List<Upstream> upstreams = new ArrayList<>();
  final Operator operator;
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

  Small(Record record, int gateways, Duration operatorTimeout) throws Exception {
    this.record = record;
    deployment.startControl();
    deployment.startGateways(gateways);
    operator = new Operator(deployment.control(), operatorTimeout);
    if (!operator.order(
        "POST", "/config/replace", Manifest.of(1, 0), Duration.ofSeconds(30))) {
      throw new IOException("the first manifest was not acknowledged");
    }
    record.line("manifest 1 is acknowledged");
  }

  Upstream add(String id, int number, String service, int slots, Upstream.Handler handler)
      throws IOException {
    String zone = Deployment.ZONES.get(number % 3);
    Upstream upstream =
        new Upstream(
            id,
            deployment.address(150 + number),
            service,
            zone,
            slots,
            deployment.control(),
            handler);
    upstreams.add(upstream);
    return upstream;
  }

  /** Waits until a request of a service is answered at each gateway. */
  void awaitServing(String method, String path, String more) throws Exception {
    for (String ip : deployment.gateways()) {
      long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
      for (int i = 0; ; i++) {
        Requester.Answer answer =
            Requester.call(ip, method, path, "warm-" + ip + "-" + path + "-" + i, 5000, new byte[0], more);
        if (answer.status() == 200 && answer.complete()) {
          break;
        }
        if (System.nanoTime() > end) {
          throw new IOException(ip + " does not serve " + path + ": " + answer.status());
        }
        Thread.sleep(200);
      }
    }
    record.line("all gateways serve %s", path);
  }

  boolean isReady(String ip) {
    return statusOf("http://" + ip + ":" + Deployment.READY_PORT + "/cuminrack/ready") == 200;
  }

  int statusOf(String uri) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create(uri)).timeout(Duration.ofSeconds(1)).build();
      return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  @Override
  public void close() throws Exception {
    for (Upstream upstream : upstreams) {
      upstream.close();
    }
    deployment.close();
  }
}
