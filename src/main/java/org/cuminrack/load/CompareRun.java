package org.cuminrack.load;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cuminrack.standin.EngineProfile;

/** Compares policies under one load profile and prints the results. */
public final class CompareRun {
  private static final double FULL_LOAD_PERCENT = 100;

  private final LoadProfile profile;
  private final CompareOptions options;
  private final PrintStream out;

  private CompareRun(LoadProfile profile, CompareOptions options, PrintStream out) {
    this.profile = profile;
    this.options = options;
    this.out = out;
  }

  /** Returns a comparison that prints to a stream. */
  public static CompareRun of(LoadProfile profile, CompareOptions options, PrintStream out) {
    return new CompareRun(profile, options, out);
  }

  /** Runs the comparison and prints the tables. */
  public void run() {
    EngineProfile engine = options.engine();
    double capacityPerEngine = new CapacityProbe(profile, engine).perSecond();
    double capacityPerSecond = capacityPerEngine * profile.engines();
    out.printf(
        "profile=%s engines=%d memory_tokens=%d capacity_per_engine=%.2f/s capacity=%.2f/s seeds=%d seconds=%d%n%n",
        profile.name(),
        profile.engines(),
        engine.memoryTokens(),
        capacityPerEngine,
        capacityPerSecond,
        options.seeds(),
        options.measurementDuration().toSeconds());
    SteadyLoad load =
        new SteadyLoad(profile, engine, capacityPerSecond, options.measurementDuration());
    Comparison comparison = new Comparison(load, options.threads());
    List<RunResult> runs =
        comparison.run(options.policies(), options.loadPercents(), options.seeds());
    ComparisonTable table = ComparisonTable.of(runs);
    out.println(table.markdown());
    ScenarioRunner scenarioRunner =
        new ScenarioRunner(
            profile, engine, capacityPerSecond * options.scenarioPercent() / FULL_LOAD_PERCENT);
    out.printf("scenarios at %d%%%n%n", options.scenarioPercent());
    List<ScenarioResult> scenarios =
        comparison.run(scenarioRunner, options.scenarios(), options.policies(), options.seeds());
    out.println(ScenarioTable.of(scenarios).markdown());
    if (!options.csvFile().isEmpty()) {
      write(Path.of(options.csvFile()), table.csv());
    }
  }

  private static void write(Path file, String text) {
    try {
      Files.writeString(file, text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
