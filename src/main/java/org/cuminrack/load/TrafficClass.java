package org.cuminrack.load;

import java.time.Duration;
import org.cuminrack.admission.Priority;
import org.cuminrack.standin.OutputLengths;
import org.cuminrack.yaml.MappingReader;

/**
 * A class of generation requests with the same route, priority and length distribution.
 *
 * @param name the name used in reports
 * @param route the route that callers give as the model
 * @param priority the priority that callers request
 * @param share relative weight of the class in the mix of generations
 * @param prefixes number of prompt prefixes that each organisation reuses
 * @param prefixTokens length of a prompt prefix in tokens
 * @param promptTokens length of the rest of the prompt in tokens, which is unique to each request
 * @param outputLengths distribution of the output lengths
 * @param timeout how long a caller waits for the first token
 */
public record TrafficClass(
    String name,
    String route,
    Priority priority,
    int share,
    int prefixes,
    int prefixTokens,
    int promptTokens,
    OutputLengths outputLengths,
    Duration timeout) {
  private static final double PERCENT = 100;

  static TrafficClass read(MappingReader reader) {
    return new TrafficClass(
        reader.name("name"),
        reader.name("route"),
        reader.choice("priority", Priority.class),
        reader.number("share", 1, 1_000),
        reader.number("prefixes", 1, 1_000),
        reader.number("prefix_tokens", 0, 100_000),
        reader.number("prompt_tokens", 1, 100_000),
        outputLengths(reader),
        Duration.ofMillis(reader.number("timeout_millis", 100, 600_000)));
  }

  private static OutputLengths outputLengths(MappingReader reader) {
    return new OutputLengths(
        reader.number("output_median_tokens", 1, 100_000),
        reader.number("output_sigma_percent", 0, 300) / PERCENT,
        reader.number("output_max_tokens", 1, 100_000));
  }
}
