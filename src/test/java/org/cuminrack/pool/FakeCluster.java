package org.cuminrack.pool;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.AdmissionOutcome;
import org.cuminrack.admission.Priority;
import org.cuminrack.admission.Ticket;
import org.cuminrack.config.Configuration;
import org.cuminrack.member.ClusterView;
import org.cuminrack.member.EntryMember;
import org.cuminrack.time.ManualClock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireFailure;

/**
 * A cluster of entries that call each other directly and share a manual clock; links can be cut.
 */
final class FakeCluster {
  private static final Duration STEP = Duration.ofMillis(20);

  final ManualClock clock = new ManualClock();
  final Map<String, AdmissionService> services = new TreeMap<>();
  final Map<String, FakeMembership> memberships = new TreeMap<>();
  final Set<String> unreachable = new HashSet<>();
  final Set<Method> methodsLosingResponses = new HashSet<>();
  private final Map<String, EntryMember> members = new TreeMap<>();
  private final Set<String> frozen = new HashSet<>();
  private Configuration configuration = Configuration.empty();
  private Map<String, Integer> suspects = Map.of();
  private long revision;
  private long epoch;
  private long lastSession;

  FakeCluster withEntries(String... names) {
    for (String name : names) {
      add(name);
    }
    publishView();
    return this;
  }

  void add(String name) {
    long session = ++lastSession;
    members.put(name, new EntryMember(name, session, "dc-a", name + ":80", name, false));
    FakeMembership membership = new FakeMembership(session);
    AdmissionService service =
        new AdmissionService("dc-a", membership, this::call, clock, PolicyKind.PREDICTIVE);
    memberships.put(name, membership);
    services.put(name, service);
    service.subscribeToMembership();
    epoch = ++revision;
  }

  /** Removes a member whose lease has expired; it may be frozen and return later. */
  void drop(String name) {
    members.remove(name);
    epoch = ++revision;
  }

  void stop(String name) {
    EntryMember member = members.get(name);
    services.get(name).releasePools();
    members.put(
        name,
        new EntryMember(
            name,
            member.sessionId(),
            member.dataCentre(),
            member.httpAddress(),
            member.wireAddress(),
            true));
    epoch = ++revision;
  }

  void freeze(String name) {
    frozen.add(name);
    unreachable.add(name);
  }

  ClusterView view() {
    return new ClusterView(revision, epoch, configuration, List.copyOf(members.values()), suspects);
  }

  /** Puts the current view in force at one entry. */
  void publishViewTo(String name) {
    memberships.get(name).putInForce(view());
  }

  void acknowledgeView() {
    memberships.values().forEach(each -> each.setInForceRevision(revision));
  }

  /**
   * Puts the current view in force at every entry that is not frozen, and acknowledges it to all.
   */
  void publishView() {
    memberships.keySet().stream()
        .filter(each -> !frozen.contains(each))
        .forEach(this::publishViewTo);
    acknowledgeView();
  }

  void advance(Duration time) {
    for (long done = 0; done < time.toMillis(); done += STEP.toMillis()) {
      clock.advance(STEP);
      services.forEach((name, service) -> tick(name, service));
    }
  }

  String ownerOf(PoolKey pool) {
    return PoolOwnership.ownerOf(pool, view()).orElseThrow().name();
  }

  /** Announces an upstream through an entry; returns whether the owner accepted it. */
  boolean announce(String through, Announcement announcement) {
    return services.get(through).announce(announcement).join().isRight();
  }

  boolean report(String to, Report report) {
    return services.get(to).report(report).isRight();
  }

  /** Requests {@code count} tickets at one entry and returns those granted at once. */
  List<Ticket> admit(String entry, int count) {
    List<Ticket> tickets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      CompletableFuture<AdmissionOutcome> outcome =
          services.get(entry).admit(PoolFixture.request("shop", Priority.STANDARD));
      if (outcome.isDone() && outcome.join() instanceof AdmissionOutcome.Admitted admitted) {
        tickets.add(admitted.ticket());
      }
    }
    return tickets;
  }

  private void tick(String name, AdmissionService service) {
    if (!frozen.contains(name)) {
      service.tick();
      service.poll();
    }
  }

  private CompletableFuture<Either<WireFailure, byte[]>> call(
      String address, Method method, byte[] payload, Duration timeout) {
    if (unreachable.contains(address)) {
      return CompletableFuture.completedFuture(
          Either.left(new WireFailure.Unreachable(address, "cut")));
    }
    CompletableFuture<Either<WireFailure, byte[]>> response =
        services
            .get(address)
            .handlers()
            .get(method)
            .handle(payload)
            .thenApply(Either::<WireFailure, byte[]>right);
    if (methodsLosingResponses.contains(method)) {
      return CompletableFuture.completedFuture(
          Either.left(new WireFailure.NoAnswer(address, "lost")));
    }
    return response;
  }
}
