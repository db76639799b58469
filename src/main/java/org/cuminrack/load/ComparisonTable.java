package org.cuminrack.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cuminrack.pool.PolicyKind;

/** Prints runs as a Markdown table of medians with their spread, and as CSV. */
public final class ComparisonTable {
  private final List<RunResult> runs;

  /** Returns the table of some runs; runs that differ only in their seed share a row. */
  public static ComparisonTable of(List<RunResult> runs) {
    return new ComparisonTable(runs);
  }

  private ComparisonTable(List<RunResult> runs) {
    this.runs = List.copyOf(runs);
  }

  /** Returns the table as Markdown, a row for each load and policy. */
  public String markdown() {
    StringBuilder text = new StringBuilder("| load | policy |");
    for (Figure each : Figure.values()) {
      text.append(' ').append(each.title()).append(" |");
    }
    text.append("\n| --- | --- |").append(" --- |".repeat(Figure.values().length)).append('\n');
    rows().forEach((row, ofRow) -> text.append(line(row, ofRow)));
    return text.toString();
  }

  /** Returns every run as CSV. */
  public String csv() {
    StringBuilder text = new StringBuilder("load_percent,policy,seed");
    for (Figure each : Figure.values()) {
      text.append(',').append(each.title());
    }
    text.append('\n');
    for (RunResult run : runs) {
      text.append(run.loadPercent()).append(',').append(word(run.policy())).append(',');
      text.append(run.seed());
      for (Figure each : Figure.values()) {
        text.append(',').append(String.format(Locale.ROOT, "%.3f", each.of(run)));
      }
      text.append('\n');
    }
    return text.toString();
  }

  private Map<Row, List<RunResult>> rows() {
    Map<Row, List<RunResult>> rows = new LinkedHashMap<>();
    for (RunResult each : runs) {
      Row row = new Row(each.loadPercent(), each.policy());
      rows.computeIfAbsent(row, ignored -> new ArrayList<>()).add(each);
    }
    return rows;
  }

  private static String line(Row row, List<RunResult> ofRow) {
    StringBuilder line = new StringBuilder();
    line.append("| ").append(row.loadPercent()).append("% | ").append(word(row.policy()));
    line.append(" |");
    for (Figure each : Figure.values()) {
      Spread spread = Spread.of(ofRow.stream().map(each::of).toList());
      line.append(' ').append(spread).append(" |");
    }
    return line.append('\n').toString();
  }

  private static String word(PolicyKind policy) {
    return policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private record Row(int loadPercent, PolicyKind policy) {}
}
