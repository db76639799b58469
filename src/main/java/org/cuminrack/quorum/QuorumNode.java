package org.cuminrack.quorum;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cuminrack.lifecycle.FailureHandler;
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
 * disk. After {@link #start()}, only the protocol thread calls the state machine. While the disk
 * refuses writes, the replica neither votes nor acknowledges; it goes on once they are on the disk.
 * Any other failure of one of the threads is passed to the failure handler.
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
  private final FailureHandler failureHandler;
  private final DiskHealth diskHealth;
  private final StoreOpener opener;
  private final PacketSender sender;
  private final RequestTable requests = new RequestTable();
  private final LinkedBlockingQueue<Event> eventQueue = new LinkedBlockingQueue<>();
  private final List<Event> localEvents = new ArrayList<>();
  private volatile LogStore store;
  private DiskWorker diskWorker;
  private QuorumCore core;
  private ReplicaEvents events;
  private Thread thread;
  private EffectRunner effectRunner;
  private volatile CoreView view = CoreView.ofUnopenedReplica("");
  private volatile boolean stateIsCurrent;
  private volatile boolean stopping;
  private volatile String failure = "";

  public QuorumNode(
      QuorumSettings settings,
      StateMachine stateMachine,
      WireClient client,
      Clock clock,
      RandomGenerator random) {
    this(
        settings,
        stateMachine,
        client,
        clock,
        random,
        Disk.local(),
        FailureHandler.endingProcess());
  }

  QuorumNode(
      QuorumSettings settings,
      StateMachine stateMachine,
      WireClient client,
      Clock clock,
      RandomGenerator random,
      Disk disk,
      FailureHandler failureHandler) {
    this.settings = settings;
    this.stateMachine = stateMachine;
    this.clock = clock;
    this.random = random;
    this.failureHandler = failureHandler;
    this.diskHealth = new DiskHealth(settings.vmName(), clock);
    this.opener = new StoreOpener(disk, settings, diskHealth);
    this.sender = new PacketSender(settings::addressOf, client);
  }

  /**
   * Recovers the state from disk and joins the group. If the disk refuses, the replica does so once
   * it accepts writes.
   *
   * @throws UncheckedIOException if the data folder is not a folder that this process may use
   */
  @Override
  public void start() {
    view = CoreView.ofUnopenedReplica(settings.vmName());
    Optional<LogStore> opened = opener.tryOpen();
    opened.ifPresent(this::startReplica);
    thread = new Thread(() -> run(opened.isPresent()), "quorum-" + settings.vmName());
    thread.setDaemon(true);
    thread.start();
  }

  private void startReplica(LogStore opened) {
    MembershipPolicy policy = settings.membershipPolicy();
    store = opened;
    events = new ReplicaEvents(policy);
    core = new QuorumCore(store.recovered(), policy, settings.timing(), random, clock.nanoTime());
    view = core.view();
    events.started(view, store.recovered().entries().size());
    diskWorker =
        new DiskWorker(
            settings.vmName(),
            store,
            diskHealth,
            clock,
            eventQueue::add,
            sender::send,
            this::stopOnFailure);
    effectRunner = new EffectRunner(stateMachine, sender, diskWorker, requests);
    diskWorker.start();
  }

  @Override
  public void stop() {
    if (thread == null) {
      return;
    }
    stopping = true;
    thread.interrupt();
    joinThread();
    if (diskWorker != null) {
      diskWorker.stop();
    }
    requests.failAll(new ProposalFailure.OutcomeUnknown("stopped"));
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
   * queue is full or the data folder isn't open, since the protocol tolerates lost packets.
   */
  public WireHandler handler() {
    return payload -> {
      Packet packet = PacketCodec.decode(payload);
      if (store != null && eventQueue.size() < MAX_QUEUED_EVENTS) {
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
    if (store == null) {
      return notLeading();
    }
    RequestTable.PendingRequest<AppliedProposal> request = requests.addProposal(timeout);
    eventQueue.add(new Event.Propose(request.id(), command));
    return request.future();
  }

  @Override
  public CompletableFuture<Either<ProposalFailure, Long>> confirmLeadership(Duration timeout) {
    if (store == null) {
      return notLeading();
    }
    RequestTable.PendingRequest<Long> request = requests.addRead(timeout);
    eventQueue.add(new Event.ConfirmLeadership(request.id()));
    return request.future();
  }

  private static <T> CompletableFuture<Either<ProposalFailure, T>> notLeading() {
    return CompletableFuture.completedFuture(Either.left(new ProposalFailure.NotLeader("")));
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
    LogStore opened = store;
    String corruption = opened == null ? "" : opened.corruption().orElse("");
    return StatusConverter.toStatus(view, corruption, failure, diskHealth.refusal());
  }

  /** Returns whether the replica's disk refuses writes. */
  public DiskHealth diskHealth() {
    return diskHealth;
  }

  PacketSender sender() {
    return sender;
  }

  private void run(boolean isOpen) {
    try {
      if (!isOpen) {
        startReplica(opener.awaitOpen());
      }
      while (!stopping) {
        step(nextEvents());
      }
    } catch (InterruptedException e) {
      logger.atFine().log("%s", LogEvent.named("quorum-stopped"));
    } catch (Throwable e) {
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
    try {
      failure = cause.toString();
      stopping = true;
      logger.atSevere().withCause(cause).log("%s", LogEvent.named("replica-broken"));
      requests.failAll(new ProposalFailure.OutcomeUnknown("replica broken: " + failure));
    } finally {
      failureHandler.failed(Thread.currentThread().getName(), cause);
    }
  }
}
