package org.cuminrack.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** The commands that an engine has executed. Thread-safe. */
final class CommandLog {
  private final boolean checksFencing;
  private final List<EngineCommand> executed = new ArrayList<>();
  private long highestFencingNumber;

  CommandLog(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /**
   * Executes a command. If fencing is checked and the command's number is lower than the highest
   * known one, does not execute it and returns the highest number.
   */
  synchronized OptionalLong execute(EngineCommand command) {
    if (checksFencing && command.fencingNumber() < highestFencingNumber) {
      return OptionalLong.of(highestFencingNumber);
    }
    highestFencingNumber = Math.max(highestFencingNumber, command.fencingNumber());
    executed.add(command);
    return OptionalLong.empty();
  }

  synchronized List<EngineCommand> executed() {
    return List.copyOf(executed);
  }
}
