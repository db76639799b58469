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

/** A command that changes one object, whose name is its argument. */
final class NamedChangeCommand extends ChangeCommand {
  private final String argumentHelp;
  private final Function<String, ConfigObject> desired;

  private NamedChangeCommand(
      String name, String help, String argumentHelp, Function<String, ConfigObject> desired) {
    super(name, help);
    this.argumentHelp = argumentHelp;
    this.desired = desired;
  }

  static NamedChangeCommand drain() {
    return new NamedChangeCommand(
        "drain",
        "drains a data centre: its upstreams receive no new requests",
        "the data centre",
        name -> new DataCentre(name, true));
  }

  static NamedChangeCommand undrain() {
    return new NamedChangeCommand(
        "undrain",
        "ends the drain of a data centre",
        "the data centre",
        name -> new DataCentre(name, false));
  }

  static NamedChangeCommand retire() {
    return new NamedChangeCommand(
        "retire",
        "retires an upstream: it receives no new requests",
        "the upstream",
        name -> new Upstream(name, true));
  }

  static NamedChangeCommand reinstate() {
    return new NamedChangeCommand(
        "reinstate",
        "reinstates a retired upstream",
        "the upstream",
        name -> new Upstream(name, false));
  }

  @Override
  void addOwnArguments(Subparser parser) {
    parser.addArgument("name").help(argumentHelp);
  }

  @Override
  Either<String, Collection<ConfigObject>> desired(Namespace arguments) {
    return Either.right(List.of(desired.apply(arguments.getString("name"))));
  }
}
