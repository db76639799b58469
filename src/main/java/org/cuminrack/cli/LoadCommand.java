package org.cuminrack.cli;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.cuminrack.load.ComparisonOptions;
import org.cuminrack.load.LoadOptions;
import org.cuminrack.load.LoadProfile;
import org.cuminrack.load.LoadRun;
import org.cuminrack.load.PolicyComparison;
import org.cuminrack.load.ProfileFile;
import org.cuminrack.load.Scenario;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.standin.EngineProfile;
import org.cuminrack.time.Clock;
import org.cuminrack.yaml.YamlError;

/** {@code cuminrack load}: sends open-loop load, or compares placement policies in simulations. */
public final class LoadCommand implements Command {
  private static final String COMPARE = "compare";

  @Override
  public String name() {
    return "load";
  }

  @Override
  public void register(Subparsers subparsers) {
    Subparser parser = subparsers.addParser(name());
    parser.help("sends open-loop load, or compares placement policies in simulations");
    parser.addArgument("mode").nargs("?").choices("run", COMPARE).setDefault("run");
    parser
        .addArgument("--profile")
        .metavar("NAME")
        .required(true)
        .help("lyzicka, kamba or the path of a profile file");
    parser
        .addArgument("--entries")
        .setDefault("")
        .help("run: addresses of the entries, as HOST:PORT,…");
    parser
        .addArgument("--rate")
        .type(Double.class)
        .setDefault(2.0)
        .help("run: mean rate in generations per second");
    parser
        .addArgument("--report")
        .setDefault("")
        .help("run: the folder for the CSV file and the plot (default: none written)");
    addIntegerOption(parser, "--seed", 1, "run: seed of the arrivals");
    parser
        .addArgument("--loads")
        .type(new PercentListType())
        .setDefault(List.of(70, 100, 130))
        .help("compare: steady loads in percent of capacity, such as 70,100,130");
    parser
        .addArgument("--scenarios")
        .type(new EnumListType<>(Scenario.class))
        .setDefault(List.of(Scenario.values()))
        .help("compare: scenarios at --scenario-percent of capacity, separated by commas");
    addIntegerOption(
        parser, "--scenario-percent", 85, "compare: load of the scenarios in percent of capacity");
    parser
        .addArgument("--policies")
        .type(new EnumListType<>(PolicyKind.class))
        .setDefault(List.of(PolicyKind.values()))
        .help("compare: the policies, separated by commas");
    parser
        .addArgument("--csv")
        .setDefault("")
        .help(
            "compare: the CSV file for the results of the steady-load runs (default: none written)");
    addIntegerOption(
        parser,
        "--seeds",
        5,
        "compare: number of runs for each policy and load, and each policy and scenario");
    addIntegerOption(parser, "--seconds", 300, "measured duration of a run, in seconds");
    int memoryTokens = EngineProfile.standard().memoryTokens();
    addIntegerOption(
        parser,
        "--memory-tokens",
        memoryTokens,
        "compare: key-value cache of an engine, in tokens");
    addIntegerOption(parser, "--threads", 2, "compare: number of concurrent simulations");
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
    return sendLoad(arguments, profile.get());
  }

  private static ExitCode sendLoad(Namespace arguments, LoadProfile profile) {
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
    boolean passed = LoadRun.of(profile, options, Clock.system(), System.out).run();
    return passed ? ExitCode.DONE : ExitCode.FAILED;
  }

  private static ExitCode compare(Namespace arguments, LoadProfile profile) {
    ComparisonOptions options =
        new ComparisonOptions(
            arguments.get("policies"),
            arguments.get("loads"),
            arguments.get("scenarios"),
            arguments.getInt("scenario_percent"),
            arguments.getInt("seeds"),
            Duration.ofSeconds(arguments.getInt("seconds")),
            arguments.getInt("threads"),
            EngineProfile.standard().withMemoryTokens(arguments.getInt("memory_tokens")),
            arguments.getString("csv"));
    PolicyComparison.of(profile, options, System.out).run();
    return ExitCode.DONE;
  }

  private static void addIntegerOption(
      Subparser parser, String name, int defaultValue, String help) {
    parser
        .addArgument(name)
        .type(Integer.class)
        .choices(Arguments.range(1, Integer.MAX_VALUE))
        .metavar("N")
        .setDefault(defaultValue)
        .help(help);
  }
}
