package org.cuminrack.model;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.nio.file.Path;
import kodkod.engine.satlab.SATFactory;

/** Runs the commands of a specification in {@code src/test/alloy} in-process with SAT4J. */
public final class AlloyRunner {
  private static final Path SPECIFICATION_FOLDER = Path.of("src/test/alloy");
  private static final String SOLVER = "sat4j";

  static {
    System.setProperty("org.slf4j.simpleLogger.log.kodkod", "warn");
  }

  private final CompModule module;

  private AlloyRunner(CompModule module) {
    this.module = module;
  }

  /** Parses a specification. */
  public static AlloyRunner of(String fileName) {
    String path = SPECIFICATION_FOLDER.resolve(fileName).toString();
    return new AlloyRunner(CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, path));
  }

  /**
   * Runs the command with this label.
   *
   * @return true if an instance exists: a counterexample of a check, or an example of a run
   */
  public boolean hasInstance(String label) {
    return solve(label).satisfiable();
  }

  /** Returns as text the instance found by a command, for inspecting a counterexample. */
  public String instance(String label) {
    return solve(label).toString();
  }

  private A4Solution solve(String label) {
    A4Options options = new A4Options();
    options.solver = SATFactory.get(SOLVER);
    return TranslateAlloyToKodkod.execute_command(
        A4Reporter.NOP, module.getAllReachableSigs(), command(label), options);
  }

  private Command command(String label) {
    return module.getAllCommands().stream()
        .filter(each -> each.label.equals(label))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no command is labelled " + label));
  }
}
