package org.cuminrack.quorum;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.internal.CoreView;
import org.cuminrack.quorum.internal.Effect;
import org.cuminrack.quorum.internal.Event;
import org.cuminrack.quorum.internal.MembershipPolicy;
import org.cuminrack.quorum.internal.Packet;
import org.cuminrack.quorum.internal.PacketCodec;
import org.cuminrack.quorum.internal.QuorumCore;
import org.cuminrack.storage.Disk;
import org.cuminrack.storage.LogStore;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireHandler;

/**
 * A replica of the log, with one thread for the protocol and the state machine and one for the
 * disk. After {@link #start()}, only the protocol thread calls the state machine.
 */
public final class QuorumNode implements ManagedService, ReplicatedLog {
  /** The largest command, in bytes. */
  public static final int MAX_COMMAND_BYTES = 4 << 20;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_QUEUED_EVENTS = 1 << 16;
  private static final byte[] EMPTY = {};

  private final QuorumSettings settings;
  private final StateMachine stateMachine;
  private final Clock clock;
  private final RandomGenerator random;
  private final Disk disk;
  private final PacketSender sender;
  private final RequestTable requests = new RequestTable();
  private final LinkedBlockingQueue<Event> eventQueue = new LinkedBlockingQueue<>();
  private final List<Event> localEvents = new ArrayList<>();
  private LogStore store;
  private DiskWorker diskWorker;
  private QuorumCore core;
  private ReplicaEvents events;
  private Thread thread;
  private EffectRunner effectRunner;
  private volatile CoreView view;
  private volatile boolean stateIsCurrent;
  private volatile boolean stopping;
  private volatile String failure = "";

  public QuorumNode(
      QuorumSettings settings,
      StateMachine stateMachine,
      WireClient client,
      Clock clock,
      RandomGenerator random) {
    this(settings, stateMachine, client, clock, random, Disk.local());
  }

  QuorumNode(
      QuorumSettings settings,
      StateMachine stateMachine,
      WireClient client,
      Clock clock,
      RandomGenerator random,
      Disk disk) {
    this.settings = settings;
    this.stateMachine = stateMachine;
    this.clock = clock;
    this.random = random;
    this.disk = disk;
    this.sender = new PacketSender(settings::addressOf, client);
  }

  /** Recovers the state from disk and joins the group; throws if the data folder is unusable. */
  @Override
  public void start() {
    String vmName = settings.vmName();
    store = openStore(vmName);
    logCorruption();
    MembershipPolicy policy =
        new MembershipPolicy(
            settings.founders().keySet(),
            settings.joinPort() != 0,
            settings.mayFormGroup(),
            settings.tolerance(),
            settings.dataCentre());
    events = new ReplicaEvents(policy);
    core = new QuorumCore(store.recovered(), policy, settings.timing(), random, clock.nanoTime());
    view = core.view();
    events.started(view, store.recovered().entries().size());
    diskWorker = new DiskWorker(vmName, store, eventQueue::add, sender::send, this::stopOnFailure);
    effectRunner = new EffectRunner(stateMachine, sender, diskWorker, requests);
    diskWorker.start();
    thread = new Thread(this::run, "quorum-" + vmName);
    thread.setDaemon(true);
    thread.start();
  }

  private LogStore openStore(String vmName) {
    SecureRandom incarnations = new SecureRandom();
    LongSupplier nextIncarnation = () -> incarnations.nextLong(1, Long.MAX_VALUE);
    try {
      return LogStore.open(disk, settings.dataFolder(), vmName, nextIncarnation);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void logCorruption() {
    Optional<String> corruption = store.corruption();
    corruption.ifPresent(
        detail ->
            logger.atSevere().log("%s", LogEvent.named("disk-corrupted").with("detail", detail)));
  }

  @Override
  public void stop() {
    if (thread == null) {
      return;
    }
    stopping = true;
    thread.interrupt();
    joinThread();
    diskWorker.stop();
    requests.failAll(new ProposalFailure.OutcomeUnknown("stopped"));
    try {
      store.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    thread = null;
  }

  private void joinThread() {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Returns the wire handler for {@link Method#QUORUM_MESSAGE}. It drops packets while the event
   * queue is full, since the protocol tolerates lost packets.
   */
  public WireHandler handler() {
    return payload -> {
      Packet packet = PacketCodec.decode(payload);
      if (eventQueue.size() < MAX_QUEUED_EVENTS) {
        eventQueue.add(new Event.Received(packet));
      }
      return CompletableFuture.completedFuture(EMPTY);
    };
  }

  @Override
  public CompletableFuture<Either<ProposalFailure, AppliedProposal>> propose(
      byte[] command, Duration timeout) {
    if (command.length > MAX_COMMAND_BYTES) {
      throw new IllegalArgumentException(
          "command: expected up to " + MAX_COMMAND_BYTES + " bytes, found " + command.length);
    }
    RequestTable.PendingRequest<AppliedProposal> request = requests.addProposal(timeout);
    eventQueue.add(new Event.Propose(request.id(), command));
    return request.future();
  }

  @Override
  public CompletableFuture<Either<ProposalFailure, Long>> confirmLeadership(Duration timeout) {
    RequestTable.PendingRequest<Long> request = requests.addRead(timeout);
    eventQueue.add(new Event.ConfirmLeadership(request.id()));
    return request.future();
  }

  @Override
  public boolean isLeader() {
    return isRunning() && view.established();
  }

  @Override
  public long term() {
    return view.term();
  }

  @Override
  public String leader() {
    return isRunning() ? view.leader() : "";
  }

  /**
   * Returns whether the local state includes all entries committed before the current term. A
   * restarted replica exposes older states until it has applied its log; a blank one has no state.
   */
  public boolean isCurrent() {
    return isRunning() && stateIsCurrent;
  }

  private boolean isRunning() {
    return !stopping && failure.isEmpty();
  }

  /** Returns the replica's state for the diagnostic dump. */
  public QuorumStatus status() {
    return StatusConverter.toStatus(view, store.corruption().orElse(""), failure);
  }

  PacketSender sender() {
    return sender;
  }

  private void run() {
    try {
      while (!stopping) {
        step(nextEvents());
      }
    } catch (InterruptedException e) {
      logger.atFine().log("%s", LogEvent.named("quorum-stopped"));
    } catch (RuntimeException e) {
      stopOnFailure(e);
    }
  }

  private List<Event> nextEvents() throws InterruptedException {
    List<Event> events = new ArrayList<>(localEvents);
    localEvents.clear();
    if (events.isEmpty()) {
      long waitNanos = core.nextDeadlineNanos() - clock.nanoTime();
      Event first = eventQueue.poll(Math.max(0, waitNanos), TimeUnit.NANOSECONDS);
      if (first == null) {
        return events;
      }
      events.add(first);
    }
    eventQueue.drainTo(events);
    return events;
  }

  private void step(List<Event> received) {
    effectRunner.recordSyncedVotes(received);
    List<Effect> effects = core.step(received, clock.nanoTime());
    CoreView before = view;
    view = core.view();
    events.stepped(before, view, clock.nanoTime());
    effects.forEach(effectRunner::execute);
    boolean isBlank = view.voters() == null;
    stateIsCurrent = !isBlank && effectRunner.appliedTerm() == view.term();
    effectRunner
        .takeSnapshotIfDue(view.appliedIndex(), settings.snapshotIntervalEntries())
        .ifPresent(localEvents::add);
  }

  private void stopOnFailure(Throwable cause) {
    failure = cause.toString();
    stopping = true;
    logger.atSevere().withCause(cause).log("%s", LogEvent.named("replica-broken"));
    requests.failAll(new ProposalFailure.OutcomeUnknown("replica broken: " + failure));
  }
}
