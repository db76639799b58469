package org.cuminrack.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.cuminrack.admission.Priority;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.routing.EngineSpec;
import org.cuminrack.standin.EngineEvent;
import org.cuminrack.standin.EngineModel;
import org.cuminrack.standin.EngineProfile;
import org.cuminrack.standin.GenerationRequest;
import org.cuminrack.standin.OverloadReaction;

/**
 * Short and long prompts on engines of the project's stand-in, placed by the decision code through
 * the gateway's queue. Short ones have the shorter target.
 */
final class PlayedEngines {
  private static final int ENGINES = 8;
  private static final EngineSpec SPEC = new EngineSpec(24, 26_960, 4, false, false);
  private static final EngineProfile PROFILE =
      new EngineProfile(
          7_000, 120, 71, 112, 26_960, 24, 72, 24, 24, 1.0, 1, 1, OverloadReaction.NONE);
  private static final long SHORT_TARGET_MILLIS = 1_500;
  private static final long LONG_TARGET_MILLIS = 4_000;
  private static final double QUEUE_SHARE_OF_TARGET = 0.65;
  private static final double PLAYED_MILLIS = 60_000;

  private static final class Engine {
    private final UpstreamRecord record;
    private final EngineModel model = EngineModel.warm(PROFILE);
    private UpstreamLoad load = UpstreamLoad.NONE;
    private boolean stepping;

    private Engine(UpstreamRecord record) {
      this.record = record;
    }
  }

  private static final class Prompt {
    private final String id;
    private final boolean isLong;
    private final int promptTokens;
    private final int outputTokens;
    private final double arrivedMillis;
    private Engine engine;
    private double firstMillis = -1;

    private Prompt(
        String id, boolean isLong, int promptTokens, int outputTokens, double arrivedMillis) {
      this.id = id;
      this.isLong = isLong;
      this.promptTokens = promptTokens;
      this.outputTokens = outputTokens;
      this.arrivedMillis = arrivedMillis;
    }

    private long targetMillis() {
      return isLong ? LONG_TARGET_MILLIS : SHORT_TARGET_MILLIS;
    }

    private boolean isInTime() {
      return firstMillis >= 0 && firstMillis - arrivedMillis <= targetMillis();
    }
  }

  private record Timer(double millis, int order, Runnable task) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      int byTime = Double.compare(millis, other.millis);
      return byTime != 0 ? byTime : Integer.compare(order, other.order);
    }
  }

  private final boolean byDueTime;
  private final double longShare;
  private final double load;
  private final Random random = new Random(46);
  private final Random jitter = new Random(47);
  private final ArrivalQueue queue = new ArrivalQueue();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final List<Engine> engines = new ArrayList<>();
  private final Map<String, Prompt> running = new HashMap<>();
  private final List<Prompt> prompts = new ArrayList<>();
  private int timerCount;
  private double nowMillis;

  /**
   * Creates engines.
   *
   * @param byDueTime whether the queue is ordered by the time at which targets end; else by arrival
   * @param longShare the share of long prompts
   * @param load the arriving work as a share of what the engines can do
   */
  PlayedEngines(boolean byDueTime, double longShare, double load) {
    this.byDueTime = byDueTime;
    this.longShare = longShare;
    this.load = load;
    for (int i = 0; i < ENGINES; i++) {
      engines.add(
          new Engine(
              new UpstreamRecord(
                  "i-" + i, "chat", "", "dc-a", 24, UpstreamPhase.READY, 1, 1, 0, 0)));
    }
  }

  void play() {
    arrive();
    while (!timers.isEmpty() && timers.peek().millis < PLAYED_MILLIS + LONG_TARGET_MILLIS) {
      Timer timer = timers.poll();
      nowMillis = timer.millis;
      timer.task.run();
    }
  }

  private void after(double millis, Runnable task) {
    timers.add(new Timer(nowMillis + millis, timerCount++, task));
  }

  private void arrive() {
    if (nowMillis >= PLAYED_MILLIS) {
      return;
    }
    boolean isLong = random.nextDouble() < longShare;
    Prompt prompt =
        new Prompt(
            "r-" + prompts.size(),
            isLong,
            isLong ? 3_000 + random.nextInt(3_001) : 200 + random.nextInt(801),
            isLong ? 200 + random.nextInt(400) : 20 + random.nextInt(100),
            nowMillis);
    prompts.add(prompt);
    Optional<Runnable> leave = queue.enter(queuePriority(prompt), () -> place(prompt));
    leave.ifPresent(task -> after(prompt.targetMillis() * QUEUE_SHARE_OF_TARGET, task));
    after(-Math.log(1 - random.nextDouble()) / (load * arrivalsPerMilli()), this::arrive);
  }

  private int queuePriority(Prompt prompt) {
    return byDueTime ? (int) prompt.arrivedMillis + (int) prompt.targetMillis() : 0;
  }

  /** Returns the arrivals that the engines' memory and prefill have room for. */
  private double arrivalsPerMilli() {
    double prompt = longShare * 4_500 + (1 - longShare) * 600;
    double tokenMillis =
        longShare * 4_900 * (4_500 / 7.0 + 400 * 12)
            + (1 - longShare) * 670 * (600 / 7.0 + 70 * 12);
    return ENGINES * Math.min(7 / prompt, SPEC.memoryTokens() * 0.9 / tokenMillis);
  }

  private boolean place(Prompt prompt) {
    List<Candidate> candidates =
        engines.stream()
            .map(engine -> new Candidate(engine.record, engine.load, false, 0, jitter.nextDouble()))
            .toList();
    PrefillWork work =
        new PrefillWork(
            prompt.promptTokens,
            prompt.promptTokens + prompt.outputTokens,
            Duration.ofMillis(prompt.targetMillis()),
            Duration.ofMillis(SHORT_TARGET_MILLIS),
            0);
    Optional<Candidate> chosen = Placement.forGeneration(candidates, SPEC, work);
    chosen.ifPresent(
        candidate ->
            submit(
                prompt,
                engines.stream()
                    .filter(engine -> engine.record.equals(candidate.upstream()))
                    .findFirst()
                    .get()));
    return chosen.isPresent();
  }

  private void submit(Prompt prompt, Engine engine) {
    prompt.engine = engine;
    engine.load =
        engine.load.plus(
            new UpstreamLoad(1, prompt.promptTokens + prompt.outputTokens, prompt.promptTokens));
    running.put(prompt.id, prompt);
    engine.model.submit(
        new GenerationRequest(
            prompt.id,
            prompt.promptTokens,
            List.of(),
            prompt.outputTokens,
            false,
            Priority.STANDARD));
    step(engine);
  }

  private void step(Engine engine) {
    if (!engine.stepping) {
      engine
          .model
          .beginStep()
          .ifPresent(
              nanos -> {
                engine.stepping = true;
                after(nanos / 1e6, () -> endStep(engine));
              });
    }
  }

  private void endStep(Engine engine) {
    engine.stepping = false;
    engine.model.endStep().forEach(this::handle);
    step(engine);
    queue.retry();
  }

  private void handle(EngineEvent event) {
    Prompt prompt = running.get(event.generationId());
    Engine engine = prompt.engine;
    if (event.kind() != EngineEvent.Kind.TOKEN) {
      running.remove(prompt.id);
      engine.load =
          engine.load.plus(new UpstreamLoad(-1, -prompt.promptTokens - prompt.outputTokens, 0));
    } else if (prompt.firstMillis < 0) {
      prompt.firstMillis = nowMillis;
      engine.load = engine.load.plus(new UpstreamLoad(0, 0, -prompt.promptTokens));
    }
  }

  /** Returns the share of prompts of one kind whose first output came in time. */
  double inTimeShare(boolean isLong) {
    long all = prompts.stream().filter(prompt -> prompt.isLong == isLong).count();
    long inTime =
        prompts.stream().filter(prompt -> prompt.isLong == isLong && prompt.isInTime()).count();
    return (double) inTime / all;
  }
}
