package org.cuminrack.quorum;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import kodkod.engine.satlab.SATFactory;
import org.junit.jupiter.api.Test;

class ElectionSpecTest {
  private static final String SPEC = "src/test/alloy/election.als";

  @Test
  void shouldFindNoCounterexampleToTheProtocol() {
    assertThat(solve("ProtocolIsSafe").satisfiable()).isFalse();
  }

  @Test
  void shouldRefuteTheMutantWhoseWipedVmVotesAgain() {
    assertThat(solve("MutantIsSafe").satisfiable()).isTrue();
  }

  @Test
  void shouldLetALostDiskBeReplaced() {
    assertThat(solve("replacementHappens").satisfiable()).isTrue();
  }

  private static A4Solution solve(String name) {
    Module spec = CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, SPEC);
    Command command =
        spec.getAllCommands().stream()
            .filter(each -> each.label.equals(name))
            .findFirst()
            .orElseThrow(() -> new AssertionError("command: expected " + name + " in " + SPEC));
    A4Options options = new A4Options();
    options.solver = SATFactory.find("sat4j").orElse(SATFactory.DEFAULT);
    A4Solution solution =
        TranslateAlloyToKodkod.execute_command(
            A4Reporter.NOP, spec.getAllReachableSigs(), command, options);
    assertWithMessage("solver has ended on %s", name).that(solution).isNotNull();
    return solution;
  }
}
