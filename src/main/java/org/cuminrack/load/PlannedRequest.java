package org.cuminrack.load;

import java.util.ArrayList;
import java.util.List;
import org.cuminrack.standin.EngineProfile;

/**
 * A generation that will be asked for.
 *
 * @param number counts the requests of a plan from 0
 * @param atNanos when, from the start of the plan
 * @param organisation who asks
 * @param trafficClass its kind
 * @param prefix which of the organisation's prompt beginnings it has
 * @param outputTokens how long its output will be; the system is not told
 */
public record PlannedRequest(
    int number,
    long atNanos,
    String organisation,
    TrafficClass trafficClass,
    int prefix,
    int outputTokens) {

  /** Returns the prompt's length. */
  public int promptTokens() {
    return trafficClass.prefixTokens() + trafficClass.promptTokens();
  }

  /** Returns numbers that stand for the hashes of the prompt's blocks, without its text. */
  public List<Long> blockHashes() {
    List<Long> hashes = new ArrayList<>();
    int shared = trafficClass.prefixTokens() / EngineProfile.BLOCK_TOKENS;
    int blocks = promptTokens() / EngineProfile.BLOCK_TOKENS;
    long sharedSeed = (organisation + "/" + trafficClass.name() + "/" + prefix).hashCode();
    for (int block = 0; block < blocks; block++) {
      long seed = block < shared ? sharedSeed << 1 : ((long) number << 1) | 1;
      hashes.add(Mixing.mix(seed * 65_537 + block));
    }
    return hashes;
  }

  /** Returns a prompt of this length with this beginning, marked with the output's length. */
  public String prompt() {
    StringBuilder text = new StringBuilder();
    String start = organisation + "-" + trafficClass.name() + "-" + prefix + "-";
    for (int i = 0; i < trafficClass.prefixTokens(); i++) {
      text.append(start).append(i).append(' ');
    }
    for (int i = 1; i < trafficClass.promptTokens(); i++) {
      text.append("r").append(number).append('-').append(i).append(' ');
    }
    return text.append("[[tokens=").append(outputTokens).append("]]").toString();
  }
}
