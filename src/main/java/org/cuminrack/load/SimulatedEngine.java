package org.cuminrack.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import org.cuminrack.pool.Announcement;
import org.cuminrack.pool.CacheEvents;
import org.cuminrack.pool.Report;
import org.cuminrack.standin.EngineEvent;
import org.cuminrack.standin.EngineLoad;
import org.cuminrack.standin.EngineModel;
import org.cuminrack.standin.EngineProfile;
import org.cuminrack.standin.GenerationRequest;
import org.cuminrack.standin.LaggingCacheEvents;
import org.cuminrack.standin.LaggingLoad;

/** An engine in simulated time, which can crash and boot again. */
final class SimulatedEngine {
  private static final Duration LOAD_LAG = Duration.ofMillis(300);
  private static final Duration CACHE_LAG = Duration.ofSeconds(1);
  private static final int CACHE_LOSS_PERCENT = 5;

  private final String name;
  private final String service;
  private final String dataCentre;
  private final EngineProfile profile;
  private final Timeline timeline;
  private final BiConsumer<SimulatedEngine, EngineEvent> listener;
  private final long seed;
  private EngineModel model;
  private LaggingLoad laggingLoad;
  private LaggingCacheEvents laggingCacheEvents;
  private boolean up;
  private boolean stepping;
  private int bootNumber;
  private long reportSequence;
  private long preemptionsOfEarlierBoots;

  SimulatedEngine(
      String name,
      String service,
      String dataCentre,
      EngineProfile profile,
      Timeline timeline,
      BiConsumer<SimulatedEngine, EngineEvent> listener,
      long seed) {
    this.name = name;
    this.service = service;
    this.dataCentre = dataCentre;
    this.profile = profile;
    this.timeline = timeline;
    this.listener = listener;
    this.seed = seed;
  }

  String name() {
    return name;
  }

  String dataCentre() {
    return dataCentre;
  }

  String bootId() {
    return name + "-" + bootNumber;
  }

  boolean isUp() {
    return up;
  }

  /** Boots the engine under a new boot id. */
  void boot(boolean warm) {
    bootNumber++;
    reportSequence = 0;
    model = warm ? EngineModel.warm(profile) : EngineModel.cold(profile);
    laggingLoad = new LaggingLoad(LOAD_LAG);
    laggingCacheEvents = new LaggingCacheEvents(CACHE_LAG, CACHE_LOSS_PERCENT, seed + bootNumber);
    up = true;
    stepping = false;
  }

  /** Crashes the engine immediately. */
  void crash() {
    preemptionsOfEarlierBoots += model.load().preemptions();
    up = false;
    bootNumber++;
  }

  void makeCold() {
    model.makeCold();
  }

  EngineModel.SubmitResult submit(GenerationRequest request) {
    EngineModel.SubmitResult result = model.submit(request);
    beginStep();
    return result;
  }

  void cancel(String generationId) {
    model.cancel(generationId);
  }

  int inFlight() {
    EngineLoad load = model.load();
    return up ? load.running() + load.waiting() : 0;
  }

  /** Returns the number of preemptions since the start of the simulation, over all boots. */
  long preemptions() {
    return preemptionsOfEarlierBoots + (up ? model.load().preemptions() : 0);
  }

  Announcement announcement() {
    return new Announcement(
        name,
        bootId(),
        dataCentre,
        service,
        name,
        profile.coldLimit(),
        profile.warmLimit(),
        profile.memoryTokens(),
        true,
        "model",
        "1");
  }

  /** Returns the report to send now, whose load is delayed by {@link #LOAD_LAG}. */
  Report report() {
    EngineLoad load = laggingLoad.sample(timeline.nowNanos(), model.load());
    reportSequence++;
    return new Report(
        name,
        bootId(),
        reportSequence,
        load.running(),
        load.waiting(),
        load.usedTokens(),
        load.preemptions(),
        false);
  }

  /** Returns the cache events whose delay has passed. */
  List<CacheEvents> cacheEvents() {
    laggingCacheEvents.add(timeline.nowNanos(), model.drainCacheChange());
    List<CacheEvents> events = new ArrayList<>();
    laggingCacheEvents
        .poll(timeline.nowNanos())
        .ifPresent(
            each ->
                events.add(
                    new CacheEvents(
                        name,
                        bootId(),
                        each.sequence(),
                        each.change().stored(),
                        each.change().removed())));
    return events;
  }

  private void beginStep() {
    if (stepping || !up) {
      return;
    }
    OptionalLong nanos = model.beginStep();
    if (nanos.isEmpty()) {
      return;
    }
    stepping = true;
    int stepBootNumber = bootNumber;
    timeline.after(nanos.getAsLong(), () -> endStep(stepBootNumber));
  }

  private void endStep(int stepBootNumber) {
    if (stepBootNumber != bootNumber) {
      return;
    }
    stepping = false;
    for (EngineEvent each : model.endStep()) {
      listener.accept(this, each);
    }
    if (stepBootNumber == bootNumber) {
      beginStep();
    }
  }
}
