package org.cuminrack.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.cuminrack.pool.PolicyKind;

/** Prints runs of scenarios as a Markdown table of medians with their spread. */
public final class ScenarioTable {
  private static final String HEAD =
      "| scenario | policy | when | whole_% | within_targets_% of all | refused_% | lost | timed_out |"
          + " first_p99_ms | gap_p99_ms | longest_gap_ms | last_new_work_ms | back_to_normal_s |"
          + " crashes |\n"
          + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  private static final double PERCENT = 100;

  private final List<ScenarioResult> results;

  private ScenarioTable(List<ScenarioResult> results) {
    this.results = List.copyOf(results);
  }

  /** Returns the table of some runs; runs that differ only in their seed share their rows. */
  public static ScenarioTable of(List<ScenarioResult> results) {
    return new ScenarioTable(results);
  }

  /** Returns the table as Markdown, a row for each scenario, policy and part of it. */
  public String markdown() {
    Map<Row, List<ScenarioResult>> rows = new LinkedHashMap<>();
    for (ScenarioResult each : results) {
      Row row = new Row(each.scenario(), each.policy());
      rows.computeIfAbsent(row, ignored -> new ArrayList<>()).add(each);
    }
    StringBuilder text = new StringBuilder(HEAD);
    rows.forEach(
        (row, ofRow) -> {
          for (Window window : Window.values()) {
            text.append(line(row, window, ofRow));
          }
        });
    return text.toString();
  }

  private static String line(Row row, Window window, List<ScenarioResult> ofRow) {
    String policy = row.policy().name().toLowerCase(Locale.ROOT).replace('_', '-');
    StringBuilder line = new StringBuilder();
    line.append("| ").append(row.scenario().word()).append(" | ").append(policy);
    line.append(" | ").append(window.word()).append(" |");
    for (ToDoubleFunction<RunMetrics> each : figures()) {
      List<Double> values =
          ofRow.stream().map(run -> each.applyAsDouble(run.windows().get(window))).toList();
      line.append(' ').append(Spread.of(values)).append(" |");
    }
    if (window == Window.DURING) {
      addWhole(line, ofRow, ScenarioResult::lastNewWorkMillis);
      addWhole(line, ofRow, ScenarioResult::backToNormalSeconds);
      addWhole(line, ofRow, ScenarioResult::crashes);
    } else {
      line.append(" | | |");
    }
    return line.append('\n').toString();
  }

  private static void addWhole(
      StringBuilder line, List<ScenarioResult> ofRow, ToDoubleFunction<ScenarioResult> figure) {
    List<Double> values = ofRow.stream().map(figure::applyAsDouble).toList();
    line.append(' ').append(Spread.of(values)).append(" |");
  }

  private static List<ToDoubleFunction<RunMetrics>> figures() {
    return List.of(
        RunMetrics::wholePercent,
        each -> PERCENT * each.withinTargets() / Math.max(1, each.offered()),
        RunMetrics::refusedPercent,
        RunMetrics::lost,
        RunMetrics::timedOut,
        each -> each.firstTokenMillis(99),
        each -> each.gapMillis(99),
        RunMetrics::longestStallMillis);
  }

  private record Row(Scenario scenario, PolicyKind policy) {}
}
