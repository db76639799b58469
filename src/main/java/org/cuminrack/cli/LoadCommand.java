package org.cuminrack.cli;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.cuminrack.load.CompareOptions;
import org.cuminrack.load.CompareRun;
import org.cuminrack.load.LoadOptions;
import org.cuminrack.load.LoadProfile;
import org.cuminrack.load.LoadRun;
import org.cuminrack.load.ProfileFile;
import org.cuminrack.load.Scenario;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.standin.EngineProfile;
import org.cuminrack.time.Clock;
import org.cuminrack.yaml.YamlError;

/** {@code cuminrack load}: open-loop load, and the policies measured side by side. */
public final class LoadCommand implements Command {
  private static final String COMPARE = "compare";

  @Override
  public String name() {
    return "load";
  }

  @Override
  public void describe(Subparsers subparsers) {
    Subparser parser = subparsers.addParser(name());
    parser.help("sends open-loop load, or compares policies in virtual time");
    parser.addArgument("mode").nargs("?").choices("run", COMPARE).setDefault("run");
    parser.addArgument("--profile").metavar("NAME").required(true).help("lyzicka, kamba or a file");
    parser.addArgument("--entries").setDefault("").help("run: HOST:PORT,… of the entries");
    parser
        .addArgument("--rate")
        .type(Double.class)
        .setDefault(2.0)
        .help("run: generations a second");
    parser.addArgument("--report").setDefault("").help("run: a folder for CSV and plot");
    integer(parser, "--seed", 1, "run: chooses the arrivals");
    parser
        .addArgument("--loads")
        .type(new PercentListType())
        .setDefault(List.of(70, 100, 130))
        .help("compare: percents of capacity, as 70,100,130");
    parser
        .addArgument("--scenarios")
        .type(new WordListType<>(Scenario.class))
        .setDefault(List.of(Scenario.values()))
        .help("compare: what happens at --scenario-percent of capacity, joined by commas");
    integer(parser, "--scenario-percent", 85, "compare: load of the scenarios");
    parser
        .addArgument("--policies")
        .type(new WordListType<>(PolicyKind.class))
        .setDefault(List.of(PolicyKind.values()))
        .help("compare: some of the policies, joined by commas");
    parser.addArgument("--csv").setDefault("").help("a file for every run's figures");
    integer(parser, "--seeds", 5, "compare: runs of each policy and load");
    integer(parser, "--seconds", 300, "measured time of a run");
    int memoryTokens = EngineProfile.standard().memoryTokens();
    integer(parser, "--memory-tokens", memoryTokens, "compare: memory of an engine");
    integer(parser, "--threads", 2, "compare: runs at one time");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    Either<List<YamlError>, LoadProfile> profile = ProfileFile.read(arguments.getString("profile"));
    if (profile.isLeft()) {
      profile.getLeft().forEach(each -> System.err.println("cuminrack: " + each));
      return ExitCode.USAGE;
    }
    if (arguments.getString("mode").equals(COMPARE)) {
      return compare(arguments, profile.get());
    }
    return send(arguments, profile.get());
  }

  private static ExitCode send(Namespace arguments, LoadProfile profile) {
    String entries = arguments.getString("entries");
    if (entries.isEmpty()) {
      System.err.println("cuminrack: --entries: expected HOST:PORT,…, found nothing");
      return ExitCode.USAGE;
    }
    LoadOptions options =
        new LoadOptions(
            List.of(entries.split(",", -1)),
            arguments.getDouble("rate"),
            Duration.ofSeconds(arguments.getInt("seconds")),
            arguments.getInt("seed"),
            arguments.getString("report"));
    boolean good = LoadRun.of(profile, options, Clock.system(), System.out).run();
    return good ? ExitCode.DONE : ExitCode.FAILED;
  }

  private static ExitCode compare(Namespace arguments, LoadProfile profile) {
    CompareOptions options =
        new CompareOptions(
            arguments.get("policies"),
            arguments.get("loads"),
            arguments.get("scenarios"),
            arguments.getInt("scenario_percent"),
            arguments.getInt("seeds"),
            Duration.ofSeconds(arguments.getInt("seconds")),
            arguments.getInt("threads"),
            EngineProfile.standard().withMemoryTokens(arguments.getInt("memory_tokens")),
            arguments.getString("csv"));
    CompareRun.of(profile, options, System.out).run();
    return ExitCode.DONE;
  }

  private static void integer(Subparser parser, String name, int otherwise, String help) {
    parser
        .addArgument(name)
        .type(Integer.class)
        .choices(Arguments.range(1, Integer.MAX_VALUE))
        .metavar("N")
        .setDefault(otherwise)
        .help(help);
  }
}
