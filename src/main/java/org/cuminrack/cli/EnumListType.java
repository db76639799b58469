package org.cuminrack.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.ArgumentType;

/** Parses a comma-separated list of enum constants, in lower case with hyphens. */
final class EnumListType<E extends Enum<E>> implements ArgumentType<List<E>> {
  private final Class<E> type;

  EnumListType(Class<E> type) {
    this.type = type;
  }

  @Override
  public List<E> convert(ArgumentParser parser, Argument argument, String value)
      throws ArgumentParserException {
    List<E> constants = new ArrayList<>();
    if (value.isEmpty()) {
      return constants;
    }
    for (String each : value.split(",", -1)) {
      constants.add(parseConstant(parser, argument, each));
    }
    return constants;
  }

  private E parseConstant(ArgumentParser parser, Argument argument, String text)
      throws ArgumentParserException {
    for (E each : type.getEnumConstants()) {
      if (optionValue(each).equals(text)) {
        return each;
      }
    }
    List<String> optionValues =
        Arrays.stream(type.getEnumConstants()).map(EnumListType::optionValue).toList();
    String expected = "expected one of " + String.join(", ", optionValues);
    throw new ArgumentParserException(expected + ", found '" + text + "'", parser, argument);
  }

  private static String optionValue(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
