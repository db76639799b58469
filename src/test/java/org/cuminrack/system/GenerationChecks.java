package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.IntStream;
import org.cuminrack.standin.OutputText;

/** What must hold of every generation that a caller received. */
final class GenerationChecks {

  private GenerationChecks() {}

  /** Checks that every token came once, in order, from one generation, to the end. */
  static void assertWhole(String prompt, GenerationAnswer answer) {
    assertWithMessage("%s", answer).that(answer.isWhole()).isTrue();
    assertPrefix(prompt, answer);
  }

  /** Checks that what came is the beginning of the one generation of this prompt. */
  static void assertPrefix(String prompt, GenerationAnswer answer) {
    assertInOrder(answer);
    assertThat(answer.texts()).isEqualTo(words(OutputText.of(prompt), answer.texts().size()));
  }

  /** Checks that what came is the beginning of a generation of one life of one engine. */
  static void assertOneLife(String prompt, GenerationAnswer answer, List<String> bootIds) {
    assertInOrder(answer);
    int count = answer.texts().size();
    assertThat(
            bootIds.stream()
                .filter(each -> answer.texts().equals(words(OutputText.of(prompt, each), count)))
                .count())
        .isAtLeast(1);
  }

  private static void assertInOrder(GenerationAnswer answer) {
    int count = answer.texts().size();
    assertThat(answer.indexes()).isEqualTo(IntStream.range(0, count).boxed().toList());
  }

  private static List<String> words(OutputText text, int count) {
    return IntStream.range(0, count).mapToObj(text::word).toList();
  }
}
