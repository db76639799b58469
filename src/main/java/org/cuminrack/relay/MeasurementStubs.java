package org.cuminrack.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.cuminrack.admission.Admission;
import org.cuminrack.admission.AdmissionOutcome;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.config.Configuration;
import org.cuminrack.config.Organisation;
import org.cuminrack.config.Route;
import org.cuminrack.config.Service;
import org.cuminrack.config.ServiceKind;
import org.cuminrack.config.VersionedObject;
import org.cuminrack.member.ClusterView;
import org.cuminrack.member.CrashEvidence;
import org.cuminrack.member.CrashReports;
import org.cuminrack.member.Membership;

/**
 * Stubs of admission, membership and crash reports for a measurement: the lease is always valid,
 * and one engine serves every request.
 */
final class MeasurementStubs implements Admission, Membership, CrashReports {
  static final String ORGANISATION = "measured";
  private static final int BODY_BYTES = 1 << 20;
  private static final int TIMEOUT_MILLIS = 60_000;
  private static final Duration DISPATCH_WITHIN = Duration.ofSeconds(1);

  private final String engineAddress;
  private final ClusterView view = new ClusterView(1, 1, configuration(), List.of(), Map.of());
  private final AtomicLong nextTicket = new AtomicLong();

  MeasurementStubs(String engineAddress) {
    this.engineAddress = engineAddress;
  }

  private static Configuration configuration() {
    return Configuration.of(
        1,
        List.of(
            new VersionedObject(new Organisation(ORGANISATION, 1, Integer.MAX_VALUE, null), 1),
            new VersionedObject(new Service("measured", ServiceKind.GENERATION, false), 1),
            new VersionedObject(
                new Route("measured", "measured", Set.of(), TIMEOUT_MILLIS, BODY_BYTES), 1)));
  }

  @Override
  public CompletableFuture<AdmissionOutcome> admit(AdmissionRequest request) {
    long dispatchByNanos = System.nanoTime() + DISPATCH_WITHIN.toNanos();
    return CompletableFuture.completedFuture(
        new AdmissionOutcome.Admitted(
            new Ticket(
                nextTicket.incrementAndGet(),
                "measured",
                1,
                "engine",
                MeasurementEngine.BOOT_ID,
                engineAddress,
                dispatchByNanos,
                false)));
  }

  @Override
  public void returnTicket(Ticket ticket, TicketOutcome outcome) {}

  @Override
  public boolean hasValidLease() {
    return true;
  }

  @Override
  public ClusterView view() {
    return view;
  }

  @Override
  public long inForceRevision() {
    return 1;
  }

  @Override
  public long sessionId() {
    return 1;
  }

  @Override
  public void onChange(Consumer<ClusterView> listener) {}

  @Override
  public CompletableFuture<Boolean> reportCrash(
      String upstream, String bootId, Map<Fingerprint, CrashEvidence> running, Duration timeout) {
    return CompletableFuture.completedFuture(true);
  }

  @Override
  public void clear(Fingerprint fingerprint) {}
}
