package org.cuminrack.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.ArgumentType;

/** A list of an enum's constants on the command line: lower case, hyphens, joined by commas. */
final class WordListType<E extends Enum<E>> implements ArgumentType<List<E>> {
  private final Class<E> type;

  WordListType(Class<E> type) {
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
      constants.add(constant(parser, argument, each));
    }
    return constants;
  }

  private E constant(ArgumentParser parser, Argument argument, String text)
      throws ArgumentParserException {
    for (E each : type.getEnumConstants()) {
      if (word(each).equals(text)) {
        return each;
      }
    }
    List<String> words = Arrays.stream(type.getEnumConstants()).map(WordListType::word).toList();
    String expected = "expected one of " + String.join(", ", words);
    throw new ArgumentParserException(expected + ", found '" + text + "'", parser, argument);
  }

  private static String word(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
