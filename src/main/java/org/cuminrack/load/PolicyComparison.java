package org.cuminrack.load;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cuminrack.standin.EngineProfile;

/** Compares policies in simulations of one load profile, at steady loads and in scenarios. */
public final class PolicyComparison {
  private static final double FULL_LOAD_PERCENT = 100;

  private final LoadProfile profile;
  private final ComparisonOptions options;
  private final PrintStream out;

  private PolicyComparison(LoadProfile profile, ComparisonOptions options, PrintStream out) {
    this.profile = profile;
    this.options = options;
    this.out = out;
  }

  /** Returns a comparison that prints to a stream. */
  public static PolicyComparison of(
      LoadProfile profile, ComparisonOptions options, PrintStream out) {
    return new PolicyComparison(profile, options, out);
  }

  /** Runs the simulations, prints the tables and writes the CSV file, if one is configured. */
  public void run() {
    EngineProfile engine = options.engine();
    double capacityPerEngine = new CapacityProbe(profile, engine).measureRequestsPerSecond();
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
    SteadyLoadRunner steadyLoadRunner =
        new SteadyLoadRunner(profile, engine, capacityPerSecond, options.measurementDuration());
    SimulationBatch batch = new SimulationBatch(steadyLoadRunner, options.threads());
    List<SteadyLoadResult> steadyLoadResults =
        batch.runSteadyLoads(options.policies(), options.loadPercents(), options.seeds());
    SteadyLoadTable table = SteadyLoadTable.of(steadyLoadResults);
    out.println(table.markdown());
    ScenarioRunner scenarioRunner =
        new ScenarioRunner(
            profile, engine, capacityPerSecond * options.scenarioPercent() / FULL_LOAD_PERCENT);
    out.printf("scenarios at %d%%%n%n", options.scenarioPercent());
    List<ScenarioResult> scenarioResults =
        batch.runScenarios(
            scenarioRunner, options.scenarios(), options.policies(), options.seeds());
    out.println(ScenarioTable.of(scenarioResults).markdown());
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
