package org.cuminrack.cli;

import java.net.InetSocketAddress;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.cuminrack.standin.EngineOptions;
import org.cuminrack.standin.EngineProfile;
import org.cuminrack.standin.EngineServer;
import org.cuminrack.standin.OutputLengths;
import org.cuminrack.standin.OverloadReaction;
import org.cuminrack.standin.ReportLag;
import org.cuminrack.standin.ShopOptions;
import org.cuminrack.standin.ShopServer;
import org.cuminrack.standin.StandIn;
import org.cuminrack.standin.StandInProcess;
import org.cuminrack.time.Clock;

/** {@code cuminrack stand-in engine|shop}: runs an emulated upstream. */
public final class StandInCommand implements Command {
  private static final String KIND = "stand_in";
  private static final String ENGINE = "engine";
  private static final String SHOP = "shop";

  @Override
  public String name() {
    return "stand-in";
  }

  @Override
  public void register(Subparsers subparsers) {
    Subparser parser = subparsers.addParser(name());
    parser.help("runs an emulated engine or shop");
    Subparsers kinds = parser.addSubparsers().dest(KIND).metavar("KIND");
    addEngineArguments(kinds.addParser(ENGINE).help("an emulated model engine"));
    addShopArguments(kinds.addParser(SHOP).help("an emulated shop service"));
  }

  private static void addEngineArguments(Subparser parser) {
    addUpstreamArguments(parser, "meal-planner");
    EngineProfile profile = EngineProfile.standard();
    parser.addArgument("--model").setDefault("planner").help("the model loaded at the start");
    parser.addArgument("--model-version").setDefault("1").help("the model's version");
    addIntegerOption(parser, "--cold-limit", profile.coldLimit(), "concurrent requests while cold");
    addIntegerOption(parser, "--warm-limit", profile.warmLimit(), "concurrent requests when warm");
    addIntegerOption(
        parser,
        "--memory-tokens",
        profile.memoryTokens(),
        "size of the key-value cache, in tokens");
    addIntegerOption(parser, "--median-tokens", 200, "median output length, in tokens");
    parser
        .addArgument("--fall-over")
        .type(Arguments.caseInsensitiveEnumType(OverloadReaction.class))
        .setDefault(OverloadReaction.CRASH)
        .help("how it fails when overloaded while cold");
    addFlag(parser, "--warm", "starts warm instead of cold");
    addFlag(parser, "--ignores-fencing", "accepts commands with an outdated fencing number");
    addFlag(parser, "--distinct-per-boot", "output for the same prompt differs between restarts");
  }

  private static void addShopArguments(Subparser parser) {
    addUpstreamArguments(parser, "shop");
    addIntegerOption(parser, "--cold-limit", 16, "concurrent calls while cold");
    addIntegerOption(parser, "--warm-limit", 64, "concurrent calls when warm");
    addIntegerOption(parser, "--service-millis", 5, "duration of a call, in milliseconds");
  }

  private static void addUpstreamArguments(Subparser parser, String service) {
    parser.addArgument("--name").required(true).help("the upstream's name");
    parser.addArgument("--data-centre").required(true).help("the upstream's data centre");
    parser
        .addArgument("--service")
        .setDefault(service)
        .help("the service that it provides (default: %(default)s)");
    parser
        .addArgument("--listen")
        .setDefault("127.0.0.1:0")
        .help("the address to listen on, as HOST:PORT; port 0 selects a free port");
    parser
        .addArgument("--entries")
        .setDefault("")
        .help("addresses of the entries that it announces itself to, as HOST:PORT,…");
    addIntegerOption(parser, "--seed", 1, "seed that determines which cache events are lost");
    addFlag(parser, "--prompt-reports", "sends reports and cache events without delay or loss");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    InetSocketAddress listen = HostAndPort.parse(arguments.getString("listen"));
    if (listen == null) {
      System.err.printf(
          "cuminrack: --listen: expected HOST:PORT, found %s%n", arguments.getString("listen"));
      return ExitCode.USAGE;
    }
    boolean engine = arguments.getString(KIND).equals(ENGINE);
    StandInProcess.of(engine ? engine(arguments, listen) : shop(arguments, listen)).run();
    return ExitCode.DONE;
  }

  private static StandIn engine(Namespace arguments, InetSocketAddress listen) {
    EngineProfile profile =
        EngineProfile.standard()
            .withLimits(arguments.getInt("cold_limit"), arguments.getInt("warm_limit"))
            .withMemoryTokens(arguments.getInt("memory_tokens"))
            .withOverloadReaction(arguments.get("fall_over"));
    OutputLengths standard = OutputLengths.standard();
    OutputLengths lengths =
        new OutputLengths(
            arguments.getInt("median_tokens"), standard.sigma(), standard.maxTokens());
    EngineOptions options =
        new EngineOptions(
            arguments.getString("name"),
            arguments.getString("data_centre"),
            arguments.getString("service"),
            listen,
            entries(arguments),
            EngineOptions.newBootId(),
            arguments.getString("model"),
            arguments.getString("model_version"),
            profile,
            arguments.getBoolean("warm"),
            !arguments.getBoolean("ignores_fencing"),
            arguments.getBoolean("distinct_per_boot"),
            lengths,
            reportLag(arguments));
    return EngineServer.of(options, Clock.system(), StandInProcess::crash);
  }

  private static StandIn shop(Namespace arguments, InetSocketAddress listen) {
    ShopOptions options =
        new ShopOptions(
            arguments.getString("name"),
            arguments.getString("data_centre"),
            arguments.getString("service"),
            listen,
            entries(arguments),
            EngineOptions.newBootId(),
            arguments.getInt("cold_limit"),
            arguments.getInt("warm_limit"),
            arguments.getInt("service_millis"),
            reportLag(arguments));
    return ShopServer.of(options, Clock.system(), StandInProcess::crash);
  }

  private static List<String> entries(Namespace arguments) {
    String entries = arguments.getString("entries");
    return entries.isEmpty() ? List.of() : List.of(entries.split(",", -1));
  }

  private static ReportLag reportLag(Namespace arguments) {
    if (arguments.getBoolean("prompt_reports")) {
      return ReportLag.none();
    }
    return ReportLag.standard(arguments.getInt("seed"));
  }

  private static void addIntegerOption(
      Subparser parser, String name, int defaultValue, String help) {
    parser.addArgument(name).type(Integer.class).setDefault(defaultValue).help(help);
  }

  private static void addFlag(Subparser parser, String name, String help) {
    parser.addArgument(name).action(Arguments.storeTrue()).help(help);
  }
}
