package org.cuminrack.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cuminrack.pool.PolicyKind;

/** Formats steady-load results as a Markdown table of medians and ranges, and as CSV. */
public final class SteadyLoadTable {
  private final List<SteadyLoadResult> runs;

  /** Returns a table of results; results that differ only in their seed share a row. */
  public static SteadyLoadTable of(List<SteadyLoadResult> runs) {
    return new SteadyLoadTable(runs);
  }

  private SteadyLoadTable(List<SteadyLoadResult> runs) {
    this.runs = List.copyOf(runs);
  }

  /** Returns the table as Markdown, with a row for each load and policy. */
  public String markdown() {
    StringBuilder text = new StringBuilder("| load | policy |");
    for (SteadyLoadColumn each : SteadyLoadColumn.values()) {
      text.append(' ').append(each.title()).append(" |");
    }
    text.append("\n| --- | --- |")
        .append(" --- |".repeat(SteadyLoadColumn.values().length))
        .append('\n');
    rows().forEach((row, rowRuns) -> text.append(line(row, rowRuns)));
    return text.toString();
  }

  /** Returns the runs as CSV, with a line for each run. */
  public String csv() {
    StringBuilder text = new StringBuilder("load_percent,policy,seed");
    for (SteadyLoadColumn each : SteadyLoadColumn.values()) {
      text.append(',').append(each.title());
    }
    text.append('\n');
    for (SteadyLoadResult run : runs) {
      text.append(run.loadPercent()).append(',').append(label(run.policy())).append(',');
      text.append(run.seed());
      for (SteadyLoadColumn each : SteadyLoadColumn.values()) {
        text.append(',').append(String.format(Locale.ROOT, "%.3f", each.valueIn(run)));
      }
      text.append('\n');
    }
    return text.toString();
  }

  private Map<Row, List<SteadyLoadResult>> rows() {
    Map<Row, List<SteadyLoadResult>> rows = new LinkedHashMap<>();
    for (SteadyLoadResult each : runs) {
      Row row = new Row(each.loadPercent(), each.policy());
      rows.computeIfAbsent(row, ignored -> new ArrayList<>()).add(each);
    }
    return rows;
  }

  private static String line(Row row, List<SteadyLoadResult> rowRuns) {
    StringBuilder line = new StringBuilder();
    line.append("| ").append(row.loadPercent()).append("% | ").append(label(row.policy()));
    line.append(" |");
    for (SteadyLoadColumn each : SteadyLoadColumn.values()) {
      Spread spread = Spread.of(rowRuns.stream().map(each::valueIn).toList());
      line.append(' ').append(spread).append(" |");
    }
    return line.append('\n').toString();
  }

  private static String label(PolicyKind policy) {
    return policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private record Row(int loadPercent, PolicyKind policy) {}
}
