package org.cuminrack.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cuminrack.pool.PolicyKind;

/**
 * Runs the simulations of a comparison on several threads. All policies get the same arrivals, and
 * the results do not depend on the number of threads.
 */
public final class SimulationBatch {
  private final SteadyLoadRunner steadyLoadRunner;
  private final int threads;

  SimulationBatch(SteadyLoadRunner steadyLoadRunner, int threads) {
    this.steadyLoadRunner = steadyLoadRunner;
    this.threads = threads;
  }

  /** Runs every policy at every load with the seeds 1 to {@code seeds}. */
  List<SteadyLoadResult> runSteadyLoads(
      List<PolicyKind> policies, List<Integer> loadPercents, int seeds) {
    List<Callable<SteadyLoadResult>> runs = new ArrayList<>();
    for (int loadPercent : loadPercents) {
      for (PolicyKind policy : policies) {
        for (long seed = 1; seed <= seeds; seed++) {
          long runSeed = seed;
          runs.add(() -> steadyLoadRunner.run(policy, loadPercent, runSeed));
        }
      }
    }
    return runAll(runs);
  }

  /** Runs every policy through every scenario with the seeds 1 to {@code seeds}. */
  List<ScenarioResult> runScenarios(
      ScenarioRunner scenarioRunner,
      List<Scenario> scenarios,
      List<PolicyKind> policies,
      int seeds) {
    List<Callable<ScenarioResult>> runs = new ArrayList<>();
    for (Scenario scenario : scenarios) {
      for (PolicyKind policy : policies) {
        for (long seed = 1; seed <= seeds; seed++) {
          long runSeed = seed;
          runs.add(() -> scenarioRunner.run(scenario, policy, runSeed));
        }
      }
    }
    return runAll(runs);
  }

  private <T> List<T> runAll(List<Callable<T>> runs) {
    ExecutorService workers = Executors.newFixedThreadPool(threads);
    try {
      List<T> results = new ArrayList<>();
      for (Future<T> each : workers.invokeAll(runs)) {
        results.add(each.get());
      }
      return results;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the simulations", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException("a simulation failed", e.getCause());
    } finally {
      workers.shutdownNow();
    }
  }
}
