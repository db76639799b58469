package org.cuminrack.system;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cuminrack.http.Json;

/** What a caller received of a generation. */
final class GenerationAnswer {
  private int status;
  private String breakage = "";
  private String id = "";
  private String lastEventId = "";
  private String finishReason = "";
  private String problem = "";
  private String event = "";
  private boolean done;
  private final List<Integer> indexes = new ArrayList<>();
  private final List<String> texts = new ArrayList<>();

  void begin(int httpStatus) {
    status = httpStatus;
  }

  void broken(String detail) {
    breakage = detail;
  }

  void line(String line) {
    if (status != 200) {
      problem += line;
    } else if (line.startsWith("id: ")) {
      id = line.substring(4);
    } else if (line.startsWith("event: ")) {
      event = line.substring(7);
    } else if (line.equals("data: [DONE]")) {
      done = true;
    } else if (line.startsWith("data: ")) {
      data(line.substring(6));
    }
  }

  private void data(String json) {
    if (event.equals("error")) {
      problem = json;
      return;
    }
    lastEventId = id;
    JsonNode data = Json.readTree(json.getBytes(StandardCharsets.UTF_8)).get();
    if (data.has("finish_reason")) {
      finishReason = data.get("finish_reason").asText();
    } else {
      indexes.add(data.get("index").asInt());
      texts.add(data.get("text").asText());
    }
  }

  /** Returns this answer with the rest that another connection brought. */
  GenerationAnswer followedBy(GenerationAnswer rest) {
    GenerationAnswer both = new GenerationAnswer();
    both.status = rest.status;
    both.breakage = rest.breakage;
    both.lastEventId = rest.lastEventId;
    both.finishReason = rest.finishReason;
    both.problem = rest.problem;
    both.done = rest.done;
    both.indexes.addAll(indexes);
    both.indexes.addAll(rest.indexes);
    both.texts.addAll(texts);
    both.texts.addAll(rest.texts);
    return both;
  }

  int status() {
    return status;
  }

  /** Tells whether the whole generation came. */
  boolean isWhole() {
    return done && !finishReason.isEmpty() && problem.isEmpty();
  }

  /** Returns what the connection ended with; empty where it ended well. */
  String breakage() {
    return breakage;
  }

  /** Returns the refusal, or the problem that the stream ended with; empty where none. */
  String problem() {
    return problem;
  }

  /** Returns when a refusal said that coming back helps. */
  Duration retryAfter() {
    JsonNode refusal = Json.readTree(problem.getBytes(StandardCharsets.UTF_8)).get();
    return Duration.ofMillis(refusal.path("retry_after_millis").asLong(100));
  }

  String lastEventId() {
    return lastEventId;
  }

  List<Integer> indexes() {
    return indexes;
  }

  List<String> texts() {
    return texts;
  }

  @Override
  public String toString() {
    return "status="
        + status
        + " tokens="
        + texts.size()
        + " finish="
        + finishReason
        + " problem="
        + problem
        + " breakage="
        + breakage;
  }
}
