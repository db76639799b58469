package org.cuminrack.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.cuminrack.pool.PolicyKind;

/** Formats scenario results as a Markdown table of medians and ranges. */
public final class ScenarioTable {
  private static final String HEADER =
      "| scenario | policy | when | whole_% | within_targets_% of all | refused_% | lost | timed_out |"
          + " first_p99_ms | gap_p99_ms | longest_gap_ms | last_new_work_ms | back_to_normal_s |"
          + " crashes |\n"
          + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  private static final double PERCENT = 100;

  private final List<ScenarioResult> results;

  private ScenarioTable(List<ScenarioResult> results) {
    this.results = List.copyOf(results);
  }

  /** Returns a table of results; results that differ only in their seed share their rows. */
  public static ScenarioTable of(List<ScenarioResult> results) {
    return new ScenarioTable(results);
  }

  /** Returns the table as Markdown, with a row for each scenario, policy and phase. */
  public String markdown() {
    Map<Row, List<ScenarioResult>> rows = new LinkedHashMap<>();
    for (ScenarioResult each : results) {
      Row row = new Row(each.scenario(), each.policy());
      rows.computeIfAbsent(row, ignored -> new ArrayList<>()).add(each);
    }
    StringBuilder text = new StringBuilder(HEADER);
    rows.forEach(
        (row, rowResults) -> {
          for (ScenarioPhase phase : ScenarioPhase.values()) {
            text.append(line(row, phase, rowResults));
          }
        });
    return text.toString();
  }

  private static String line(Row row, ScenarioPhase phase, List<ScenarioResult> rowResults) {
    String policy = row.policy().name().toLowerCase(Locale.ROOT).replace('_', '-');
    StringBuilder line = new StringBuilder();
    line.append("| ").append(row.scenario().label()).append(" | ").append(policy);
    line.append(" | ").append(phase.label()).append(" |");
    for (ToDoubleFunction<RequestMetrics> each : phaseColumns()) {
      List<Double> values =
          rowResults.stream()
              .map(run -> each.applyAsDouble(run.metricsByPhase().get(phase)))
              .toList();
      line.append(' ').append(Spread.of(values)).append(" |");
    }
    if (phase == ScenarioPhase.DURING) {
      addRunValues(line, rowResults, ScenarioResult::lastDispatchMillis);
      addRunValues(line, rowResults, ScenarioResult::recoverySeconds);
      addRunValues(line, rowResults, ScenarioResult::crashes);
    } else {
      line.append(" | | |");
    }
    return line.append('\n').toString();
  }

  private static void addRunValues(
      StringBuilder line, List<ScenarioResult> rowResults, ToDoubleFunction<ScenarioResult> value) {
    List<Double> values = rowResults.stream().map(value::applyAsDouble).toList();
    line.append(' ').append(Spread.of(values)).append(" |");
  }

  private static List<ToDoubleFunction<RequestMetrics>> phaseColumns() {
    return List.of(
        RequestMetrics::completedPercent,
        each -> PERCENT * each.withinTargets() / Math.max(1, each.offered()),
        RequestMetrics::refusedPercent,
        RequestMetrics::lost,
        RequestMetrics::timedOut,
        each -> each.firstTokenMillis(99),
        each -> each.gapMillis(99),
        RequestMetrics::longestGapMillis);
  }

  private record Row(Scenario scenario, PolicyKind policy) {}
}
