package org.cuminrack.cli;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.DataCentre;
import org.cuminrack.config.Upstream;

/** A command that changes one object, named by its argument. */
final class NamedChangeCommand extends ChangeCommand {
  private final String argumentHelp;
  private final Function<String, ConfigObject> wanted;

  private NamedChangeCommand(
      String name, String help, String argumentHelp, Function<String, ConfigObject> wanted) {
    super(name, help);
    this.argumentHelp = argumentHelp;
    this.wanted = wanted;
  }

  static NamedChangeCommand drain() {
    return new NamedChangeCommand(
        "drain",
        "takes a data centre out: its upstreams receive no new work",
        "the data centre",
        name -> new DataCentre(name, true));
  }

  static NamedChangeCommand undrain() {
    return new NamedChangeCommand(
        "undrain",
        "brings a data centre back",
        "the data centre",
        name -> new DataCentre(name, false));
  }

  static NamedChangeCommand retire() {
    return new NamedChangeCommand(
        "retire",
        "takes an upstream out: it receives no new work",
        "the upstream",
        name -> new Upstream(name, true));
  }

  static NamedChangeCommand reinstate() {
    return new NamedChangeCommand(
        "reinstate",
        "brings a retired upstream back",
        "the upstream",
        name -> new Upstream(name, false));
  }

  @Override
  void describeOwnArguments(Subparser parser) {
    parser.addArgument("name").help(argumentHelp);
  }

  @Override
  Either<String, Collection<ConfigObject>> wanted(Namespace arguments) {
    return Either.right(List.of(wanted.apply(arguments.getString("name"))));
  }
}
