package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cuminrack.generated.control.KnownRenewalsReply;
import org.cuminrack.generated.control.KnownRenewalsRequest;
import org.cuminrack.system.Conditions;
import org.cuminrack.time.ManualClock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireFailure;
import org.cuminrack.wire.WireGroup;
import org.cuminrack.wire.WireServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three voters on loopback, each with what it knows of renewals. */
class WireRenewalExchangeTest {
  private static final WireGroup GROUP = new WireGroup("eu", "main");
  private static final LeaseSettings SETTINGS = LeaseSettings.standard();
  private static final long SESSION = 7;

  private final ManualClock clock = new ManualClock();
  private final WireClient wire = new WireClient(GROUP);
  private final List<WireServer> servers = new ArrayList<>();
  private final List<String> addresses = new ArrayList<>();
  private final List<WireRenewalExchange> voters = new ArrayList<>();
  private Set<String> voterAddresses = Set.of();
  private Set<String> previousAddresses = Set.of();

  @BeforeEach
  void start() {
    wire.start();
    for (int i = 0; i < 3; i++) {
      WireServer server =
          new WireServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), GROUP);
      server.start();
      servers.add(server);
      addresses.add("127.0.0.1:" + server.port());
    }
    voterAddresses = new TreeSet<>(addresses);
    for (int i = 0; i < 3; i++) {
      voters.add(newProcess(i));
    }
    clock.advance(SETTINGS.expiryAtControl().multipliedBy(2));
    // All voters have heard from the leader of the first term.
    lastRenewals(0, 1);
  }

  /** Starts the voter's process, or starts it again with nothing known. */
  private WireRenewalExchange newProcess(int voter) {
    WireRenewalExchange exchange =
        new WireRenewalExchange(
            wire,
            () -> new VoterAddresses(voterAddresses, previousAddresses),
            addresses.get(voter),
            SETTINGS,
            clock);
    exchange.register(servers.get(voter));
    exchange.tick();
    return exchange;
  }

  @AfterEach
  void stop() {
    wire.stop();
    servers.forEach(WireServer::stop);
  }

  @Test
  void shouldTellANewLeaderWhenASessionLastRenewed() {
    long renewedNanos = clock.nanoTime();
    clock.advance(Duration.ofMillis(30));
    assertThat(share(0, 1, Duration.ofMillis(30))).isTrue();
    // A majority was awaited; a renewal that arrives after the clock has advanced looks younger.
    awaitRecorded(1, 1);
    awaitRecorded(2, 1);
    servers.get(0).stop();

    clock.advance(Duration.ofMillis(400));

    assertThat(lastRenewals(1, 2)).isEqualTo(Optional.of(Map.of(SESSION, renewedNanos)));
  }

  @Test
  void shouldNotShareRenewalsWithoutAMajority() {
    servers.get(1).stop();
    servers.get(2).stop();

    assertThat(share(0, 1, Duration.ZERO)).isFalse();
    assertThat(lastRenewals(0, 2)).isEmpty();
  }

  @Test
  void shouldRecordNoRenewalOfALeaderWhoseSuccessorHasAsked() {
    assertThat(lastRenewals(1, 2)).isPresent();

    assertThat(share(0, 1, Duration.ZERO)).isFalse();
  }

  @Test
  void shouldKnowNothingForSureAfterALeaderThatSharedNoRenewals() {
    share(0, 1, Duration.ZERO);

    assertThat(lastRenewals(1, 3)).isEmpty();
    assertThat(lastRenewals(2, 4)).isEmpty();
    clock.advance(SETTINGS.expiryAtControl());
    assertThat(lastRenewals(1, 5)).isPresent();
  }

  @Test
  void shouldNotCountAVoterThatMayHaveForgottenRenewals() {
    share(0, 1, Duration.ZERO);
    servers.get(0).stop();
    newProcess(2);

    assertThat(lastRenewals(1, 2)).isEmpty();
    clock.advance(SETTINGS.expiryAtControl());
    assertThat(lastRenewals(1, 3)).isPresent();
  }

  @Test
  void shouldKnowNothingForSureWhileAVoterIsReplacedAndSoonAfter() {
    previousAddresses = voterAddresses;
    assertThat(lastRenewals(1, 2)).isEmpty();

    previousAddresses = Set.of();
    voterAddresses = new TreeSet<>(addresses.subList(0, 2));
    assertThat(lastRenewals(1, 3)).isEmpty();
    clock.advance(SETTINGS.expiryAtControl());
    assertThat(lastRenewals(1, 4)).isPresent();
  }

  @Test
  void shouldNotShareRenewalsWithoutAMajorityOfThePreviousVotersWhileVotersAreChanged() {
    servers.get(1).stop();
    previousAddresses = new TreeSet<>(addresses.subList(0, 2));

    assertThat(share(0, 1, Duration.ZERO)).isFalse();
    voterAddresses = Set.of(addresses.get(0), addresses.get(2));
    assertThat(share(0, 1, Duration.ZERO)).isFalse();
  }

  @Test
  void shouldShareRenewalsWithAMajorityOfThePreviousAndOfTheNewVoters() {
    servers.get(2).stop();
    previousAddresses = new TreeSet<>(addresses.subList(0, 2));

    assertThat(share(0, 1, Duration.ZERO)).isTrue();
  }

  private boolean share(int leader, long term, Duration age) {
    return voters.get(leader).share(term, Map.of(SESSION, age)).join();
  }

  private void awaitRecorded(int voter, long term) {
    Conditions.await(
        "voter " + voter + " to record a renewal",
        Duration.ofSeconds(10),
        () -> recordedRenewals(voter, term) == 1);
  }

  private int recordedRenewals(int voter, long term) {
    byte[] question = KnownRenewalsRequest.newBuilder().setTerm(term).build().toByteArray();
    Either<WireFailure, byte[]> reply =
        wire.call(addresses.get(voter), Method.KNOWN_RENEWALS, question, Duration.ofSeconds(1))
            .join();
    try {
      return reply.isLeft() ? 0 : KnownRenewalsReply.parseFrom(reply.get()).getRenewalsCount();
    } catch (InvalidProtocolBufferException e) {
      throw new AssertionError("the reply of voter " + voter, e);
    }
  }

  private Optional<Map<Long, Long>> lastRenewals(int leader, long term) {
    return voters.get(leader).lastRenewalNanos(term).join();
  }
}
