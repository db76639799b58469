package org.cuminrack.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cuminrack.generated.control.KnownRenewalsReply;
import org.cuminrack.generated.control.KnownRenewalsRequest;
import org.cuminrack.generated.control.SessionRenewal;
import org.cuminrack.generated.control.ShareRenewalsReply;
import org.cuminrack.generated.control.ShareRenewalsRequest;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireFailure;
import org.cuminrack.wire.WireServer;

/** Exchanges renewals with the other control VMs by calls. */
public final class WireRenewalExchange implements RenewalExchange {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** As long as a leader waits for the confirmation of its leadership. */
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final WireClient wire;
  private final Supplier<VoterAddresses> voters;
  private final String ownAddress;
  private final Clock clock;
  private final KnownRenewals known;

  /**
   * Creates an exchange that knows no renewals.
   *
   * @param voters supplies the current voters
   * @param ownAddress this VM's wire address
   */
  public WireRenewalExchange(
      WireClient wire,
      Supplier<VoterAddresses> voters,
      String ownAddress,
      LeaseSettings settings,
      Clock clock) {
    this.wire = wire;
    this.voters = voters;
    this.ownAddress = ownAddress;
    this.clock = clock;
    this.known = new KnownRenewals(settings, clock.nanoTime());
  }

  /** Registers the handlers for the other control VMs' calls; call before the server starts. */
  public void register(WireServer server) {
    server.serve(Method.SHARE_RENEWALS, this::receiveShared);
    server.serve(Method.KNOWN_RENEWALS, this::receiveQuestion);
  }

  @Override
  public void tick() {
    known.observeVoters(voters.get().all(), clock.nanoTime());
  }

  @Override
  public CompletableFuture<Boolean> share(long term, Map<Long, Duration> ageBySession) {
    tick();
    if (!known.record(term, ageBySession, clock.nanoTime())) {
      return CompletableFuture.completedFuture(false);
    }
    VoterAddresses current = voters.get();
    byte[] request =
        ShareRenewalsRequest.newBuilder()
            .setTerm(term)
            .addAllRenewals(encode(ageBySession))
            .build()
            .toByteArray();
    Map<String, CompletableFuture<Boolean>> replyByAddress = new HashMap<>();
    replyByAddress.put(ownAddress, CompletableFuture.completedFuture(true));
    for (String address : others(current)) {
      replyByAddress.put(
          address,
          wire.call(address, Method.SHARE_RENEWALS, request, TIMEOUT)
              .thenApply(WireRenewalExchange::isRecorded));
    }
    return Majority.of(current.majority(), replies(replyByAddress, current.addresses()))
        .thenCombine(
            Majority.of(current.majorityOfPrevious(), replies(replyByAddress, current.previous())),
            Boolean::logicalAnd);
  }

  private static List<CompletableFuture<Boolean>> replies(
      Map<String, CompletableFuture<Boolean>> replyByAddress, Set<String> voters) {
    return voters.stream().map(replyByAddress::get).toList();
  }

  /**
   * Returns whether a voter knows the renewals. One that rejects the call is of a version without
   * it; it rejects the question for them too, so that it never counts as knowing all.
   */
  private static boolean isRecorded(Either<WireFailure, byte[]> outcome) {
    if (outcome.isLeft()) {
      return outcome.getLeft() instanceof WireFailure.Rejected;
    }
    try {
      return ShareRenewalsReply.parseFrom(outcome.get()).getRecorded();
    } catch (InvalidProtocolBufferException e) {
      logUnreadable(e);
      return false;
    }
  }

  @Override
  public CompletableFuture<Optional<Map<Long, Long>>> lastRenewalNanos(long term) {
    tick();
    VoterAddresses current = voters.get();
    if (current.changing()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    Map<Long, Long> latest = new HashMap<>();
    List<CompletableFuture<Boolean>> replies = new ArrayList<>();
    replies.add(
        CompletableFuture.completedFuture(merge(latest, known.ages(term, clock.nanoTime()))));
    byte[] request = KnownRenewalsRequest.newBuilder().setTerm(term).build().toByteArray();
    for (String address : others(current)) {
      replies.add(
          wire.call(address, Method.KNOWN_RENEWALS, request, TIMEOUT)
              .thenApply(outcome -> merge(latest, agesOf(outcome))));
    }
    return Majority.of(current.majority(), replies)
        .thenApply(
            complete -> {
              synchronized (latest) {
                return complete ? Optional.of(Map.copyOf(latest)) : Optional.empty();
              }
            });
  }

  /** Adds a voter's answer; returns whether the voter knows all renewals that may matter. */
  private boolean merge(Map<Long, Long> latest, Optional<Map<Long, Duration>> ages) {
    long nowNanos = clock.nanoTime();
    synchronized (latest) {
      ages.orElse(Map.of())
          .forEach((session, age) -> latest.merge(session, nowNanos - age.toNanos(), Math::max));
    }
    return ages.isPresent();
  }

  private static Optional<Map<Long, Duration>> agesOf(Either<WireFailure, byte[]> outcome) {
    if (outcome.isLeft()) {
      return Optional.empty();
    }
    try {
      KnownRenewalsReply reply = KnownRenewalsReply.parseFrom(outcome.get());
      return reply.getComplete() ? Optional.of(decode(reply.getRenewalsList())) : Optional.empty();
    } catch (InvalidProtocolBufferException e) {
      logUnreadable(e);
      return Optional.empty();
    }
  }

  private CompletableFuture<byte[]> receiveShared(byte[] payload) {
    ShareRenewalsRequest request;
    try {
      request = ShareRenewalsRequest.parseFrom(payload);
    } catch (InvalidProtocolBufferException e) {
      logUnreadable(e);
      return CompletableFuture.completedFuture(
          ShareRenewalsReply.getDefaultInstance().toByteArray());
    }
    boolean recorded =
        known.record(request.getTerm(), decode(request.getRenewalsList()), clock.nanoTime());
    return CompletableFuture.completedFuture(
        ShareRenewalsReply.newBuilder().setRecorded(recorded).build().toByteArray());
  }

  private CompletableFuture<byte[]> receiveQuestion(byte[] payload) {
    KnownRenewalsReply.Builder reply = KnownRenewalsReply.newBuilder();
    try {
      KnownRenewalsRequest request = KnownRenewalsRequest.parseFrom(payload);
      tick();
      known
          .ages(request.getTerm(), clock.nanoTime())
          .ifPresent(ages -> reply.setComplete(true).addAllRenewals(encode(ages)));
    } catch (InvalidProtocolBufferException e) {
      // The reply is then incomplete.
      logUnreadable(e);
    }
    return CompletableFuture.completedFuture(reply.build().toByteArray());
  }

  private static void logUnreadable(InvalidProtocolBufferException cause) {
    logger.atWarning().withCause(cause).log("%s", LogEvent.named("renewals-unreadable"));
  }

  private Set<String> others(VoterAddresses current) {
    Set<String> others = new TreeSet<>(current.all());
    others.remove(ownAddress);
    return others;
  }

  private static List<SessionRenewal> encode(Map<Long, Duration> ageBySession) {
    return ageBySession.entrySet().stream()
        .map(
            entry ->
                SessionRenewal.newBuilder()
                    .setSessionId(entry.getKey())
                    .setAgeMillis(entry.getValue().toMillis())
                    .build())
        .toList();
  }

  private static Map<Long, Duration> decode(List<SessionRenewal> renewals) {
    return renewals.stream()
        .collect(
            Collectors.toMap(
                SessionRenewal::getSessionId,
                renewal -> Duration.ofMillis(renewal.getAgeMillis()),
                (first, second) -> first.compareTo(second) < 0 ? first : second));
  }
}
