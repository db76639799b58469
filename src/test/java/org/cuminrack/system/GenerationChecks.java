package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.IntStream;
import org.cuminrack.standin.OutputText;

/** Assertions on the generations that a caller received. */
final class GenerationChecks {

  private GenerationChecks() {}

  /** Checks that every token of one generation was received once and in order, to the end. */
  static void assertComplete(String prompt, GenerationResponse response) {
    assertWithMessage("%s", response).that(response.isComplete()).isTrue();
    assertPrefix(prompt, response);
  }

  /** Checks that the received tokens are a prefix of the deterministic output for this prompt. */
  static void assertPrefix(String prompt, GenerationResponse response) {
    assertInOrder(response);
    assertThat(response.texts()).isEqualTo(words(OutputText.of(prompt), response.texts().size()));
  }

  /** Checks that the received tokens are a prefix of the output of a single engine boot. */
  static void assertFromOneBoot(String prompt, GenerationResponse response, List<String> bootIds) {
    assertInOrder(response);
    int tokenCount = response.texts().size();
    assertThat(
            bootIds.stream()
                .filter(
                    each -> response.texts().equals(words(OutputText.of(prompt, each), tokenCount)))
                .count())
        .isAtLeast(1);
  }

  private static void assertInOrder(GenerationResponse response) {
    int tokenCount = response.texts().size();
    assertThat(response.indexes()).isEqualTo(IntStream.range(0, tokenCount).boxed().toList());
  }

  private static List<String> words(OutputText text, int tokenCount) {
    return IntStream.range(0, tokenCount).mapToObj(text::word).toList();
  }
}
