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

/** One engine in virtual time, over its lives. */
final class VirtualEngine {
  private static final Duration LOAD_LAG = Duration.ofMillis(300);
  private static final Duration CACHE_LAG = Duration.ofSeconds(1);
  private static final int CACHE_LOSS_PERCENT = 5;

  private final String name;
  private final String service;
  private final String dataCentre;
  private final EngineProfile profile;
  private final Timeline timeline;
  private final BiConsumer<VirtualEngine, EngineEvent> listener;
  private final long seed;
  private EngineModel model;
  private LaggingLoad lateLoad;
  private LaggingCacheEvents lateCache;
  private boolean up;
  private boolean stepping;
  private int life;
  private long reports;
  private long preemptionsBefore;

  VirtualEngine(
      String name,
      String service,
      String dataCentre,
      EngineProfile profile,
      Timeline timeline,
      BiConsumer<VirtualEngine, EngineEvent> listener,
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
    return name + "-" + life;
  }

  boolean isUp() {
    return up;
  }

  /** Begins a new life. */
  void boot(boolean warm) {
    life++;
    reports = 0;
    model = warm ? EngineModel.warm(profile) : EngineModel.cold(profile);
    lateLoad = new LaggingLoad(LOAD_LAG);
    lateCache = new LaggingCacheEvents(CACHE_LAG, CACHE_LOSS_PERCENT, seed + life);
    up = true;
    stepping = false;
  }

  /** Ends this life at once. */
  void crash() {
    preemptionsBefore += model.load().preemptions();
    up = false;
    life++;
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

  /** Returns how often sequences were preempted, over all lives. */
  long preemptions() {
    return preemptionsBefore + (up ? model.load().preemptions() : 0);
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

  /** Returns the report that goes out now; the load in it is old. */
  Report report() {
    EngineLoad load = lateLoad.sample(timeline.nowNanos(), model.load());
    reports++;
    return new Report(
        name,
        bootId(),
        reports,
        load.running(),
        load.waiting(),
        load.usedTokens(),
        load.preemptions(),
        false);
  }

  /** Returns the cache events that are old enough to go out now. */
  List<CacheEvents> cacheEvents() {
    lateCache.add(timeline.nowNanos(), model.drainCacheChange());
    List<CacheEvents> events = new ArrayList<>();
    lateCache
        .next(timeline.nowNanos())
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
    int ofLife = life;
    timeline.after(nanos.getAsLong(), () -> endStep(ofLife));
  }

  private void endStep(int ofLife) {
    if (ofLife != life) {
      return;
    }
    stepping = false;
    for (EngineEvent each : model.endStep()) {
      listener.accept(this, each);
    }
    if (ofLife == life) {
      beginStep();
    }
  }
}
