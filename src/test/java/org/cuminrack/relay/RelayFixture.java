package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.cuminrack.http.HttpServer;
import org.cuminrack.time.Clock;

/** Starts entries on loopback that share fakes of the data path's dependencies. */
final class RelayFixture implements AutoCloseable {
  static final ByteString KEY = ByteString.copyFromUtf8("key-shared-by-all-entries");
  private static final long WAIT_TIMEOUT_NANOS = Duration.ofSeconds(15).toNanos();
  private static final Duration ADDRESS_TTL = Duration.ofSeconds(30);

  final FakeMembership membership = new FakeMembership();
  final FakeCrashReports crashReports = new FakeCrashReports();
  final FakeAdmission admission = new FakeAdmission(crashReports);
  final FakeLedger ledger = new FakeLedger();
  private final Clock clock;
  private final RelayBounds bounds;
  private final List<AutoCloseable> closeables = new ArrayList<>();

  private RelayFixture(Clock clock, RelayBounds bounds) {
    this.clock = clock;
    this.bounds = bounds;
  }

  static RelayFixture create() {
    return with(Clock.system(), RelayBounds.defaults().withSilenceTimeout(Duration.ofMillis(300)));
  }

  static RelayFixture with(Clock clock, RelayBounds bounds) {
    return new RelayFixture(clock, bounds);
  }

  /** A running entry. */
  record Entry(CallerApi api, HttpServer server) {

    int port() {
      return server.port();
    }

    CallerSession send(CallerHttpRequest request) throws IOException {
      return CallerSession.connectAndSend(port(), request);
    }

    long count(RelayCounters counter) {
      return api.counters().get(counter);
    }
  }

  Entry entry(String name) {
    RelaySettings settings = new RelaySettings(name, name + ":8081", ADDRESS_TTL, KEY, bounds);
    CallerApi api =
        new CallerApi(
            membership,
            admission,
            ledger,
            crashReports,
            settings,
            clock,
            RequestIds.withPrefix("request-" + name));
    HttpServer server =
        new HttpServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), api, 1 << 20);
    server.start();
    closeables.add(server::stop);
    return new Entry(api, server);
  }

  /** Starts an engine or a shop. */
  ScriptedUpstream upstream(String name) {
    return upstream(name, "boot-" + name);
  }

  ScriptedUpstream upstream(String name, String bootId) {
    ScriptedUpstream upstream = ScriptedUpstream.start(name, bootId);
    closeables.add(upstream);
    return upstream;
  }

  static void await(BooleanSupplier condition) {
    long startNanos = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - startNanos > WAIT_TIMEOUT_NANOS) {
        throw new AssertionError("timed out waiting for the condition");
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable closeable : closeables) {
      closeable.close();
    }
  }
}
