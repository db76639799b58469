package org.cuminrack.system;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cuminrack.http.Json;

/** The part of a generation that a caller has received. */
final class GenerationResponse {
  private int status;
  private String connectionError = "";
  private String id = "";
  private String lastEventId = "";
  private String finishReason = "";
  private String problem = "";
  private String event = "";
  private boolean done;
  private final List<Integer> indexes = new ArrayList<>();
  private final List<String> texts = new ArrayList<>();

  void setStatus(int httpStatus) {
    status = httpStatus;
  }

  void setConnectionError(String detail) {
    connectionError = detail;
  }

  void addLine(String line) {
    if (status != 200) {
      problem += line;
    } else if (line.startsWith("id: ")) {
      id = line.substring(4);
    } else if (line.startsWith("event: ")) {
      event = line.substring(7);
    } else if (line.equals("data: [DONE]")) {
      done = true;
    } else if (line.startsWith("data: ")) {
      addData(line.substring(6));
    }
  }

  private void addData(String json) {
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

  /** Returns this response joined with the rest that was received on another connection. */
  GenerationResponse followedBy(GenerationResponse rest) {
    GenerationResponse joined = new GenerationResponse();
    joined.status = rest.status;
    joined.connectionError = rest.connectionError;
    joined.lastEventId = rest.lastEventId;
    joined.finishReason = rest.finishReason;
    joined.problem = rest.problem;
    joined.done = rest.done;
    joined.indexes.addAll(indexes);
    joined.indexes.addAll(rest.indexes);
    joined.texts.addAll(texts);
    joined.texts.addAll(rest.texts);
    return joined;
  }

  int status() {
    return status;
  }

  /** Returns whether the generation was received to its end. */
  boolean isComplete() {
    return done && !finishReason.isEmpty() && problem.isEmpty();
  }

  /** Returns the error that ended the connection, or an empty string. */
  String connectionError() {
    return connectionError;
  }

  /** Returns the refusal or the problem that ended the stream, or an empty string. */
  String problem() {
    return problem;
  }

  /** Returns the delay after which a refused request may be retried. */
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
        + " connectionError="
        + connectionError;
  }
}
