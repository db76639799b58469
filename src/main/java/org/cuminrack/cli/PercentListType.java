package org.cuminrack.cli;

import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.ArgumentType;

/** Parses a comma-separated list of percentages on the command line. */
final class PercentListType implements ArgumentType<List<Integer>> {
  private static final int MAX_PERCENT = 1_000;

  @Override
  public List<Integer> convert(ArgumentParser parser, Argument argument, String value)
      throws ArgumentParserException {
    List<Integer> percents = new ArrayList<>();
    if (value.isEmpty()) {
      return percents;
    }
    for (String each : value.split(",", -1)) {
      percents.add(parsePercent(parser, argument, each));
    }
    return percents;
  }

  private static int parsePercent(ArgumentParser parser, Argument argument, String text)
      throws ArgumentParserException {
    boolean isNumber = text.matches("[1-9][0-9]{0,3}");
    if (!isNumber || Integer.parseInt(text) > MAX_PERCENT) {
      String expected = "expected a whole number from 1 to " + MAX_PERCENT;
      throw new ArgumentParserException(expected + ", found '" + text + "'", parser, argument);
    }
    return Integer.parseInt(text);
  }
}
