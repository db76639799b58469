package org.cuminrack.load;

import java.util.ArrayList;
import java.util.List;
import org.cuminrack.standin.EngineProfile;

/**
 * A planned generation request.
 *
 * @param number number of the request in its plan, from 0
 * @param arrivalNanos arrival time, from the start of the plan
 * @param organisation the organisation that sends it
 * @param trafficClass its traffic class
 * @param prefixIndex index of its prompt prefix among those of the organisation
 * @param outputTokens number of tokens in its output, which is unknown to the system under load
 */
public record PlannedRequest(
    int number,
    long arrivalNanos,
    String organisation,
    TrafficClass trafficClass,
    int prefixIndex,
    int outputTokens) {

  /** Returns the length of the prompt in tokens, including its prefix. */
  public int promptTokens() {
    return trafficClass.prefixTokens() + trafficClass.promptTokens();
  }

  /** Returns synthetic hashes of the prompt's blocks, computed without its text. */
  public List<Long> blockHashes() {
    List<Long> hashes = new ArrayList<>();
    int sharedBlocks = trafficClass.prefixTokens() / EngineProfile.BLOCK_TOKENS;
    int blocks = promptTokens() / EngineProfile.BLOCK_TOKENS;
    long sharedSeed = (organisation + "/" + trafficClass.name() + "/" + prefixIndex).hashCode();
    for (int block = 0; block < blocks; block++) {
      long seed = block < sharedBlocks ? sharedSeed << 1 : ((long) number << 1) | 1;
      hashes.add(Mixing.mix(seed * 65_537 + block));
    }
    return hashes;
  }

  /** Returns the text of the prompt, which includes a marker with the output length. */
  public String prompt() {
    StringBuilder text = new StringBuilder();
    String start = organisation + "-" + trafficClass.name() + "-" + prefixIndex + "-";
    for (int i = 0; i < trafficClass.prefixTokens(); i++) {
      text.append(start).append(i).append(' ');
    }
    for (int i = 1; i < trafficClass.promptTokens(); i++) {
      text.append("r").append(number).append('-').append(i).append(' ');
    }
    return text.append("[[tokens=").append(outputTokens).append("]]").toString();
  }
}
