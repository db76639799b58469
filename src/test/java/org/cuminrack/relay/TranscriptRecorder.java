package org.cuminrack.relay;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Locale;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * Records a transcript of the messages between callers, entries and upstreams. Values that differ
 * between runs are omitted or replaced.
 */
final class TranscriptRecorder {
  private static final Pattern EVENT_ID = Pattern.compile("(?m)^id: (\\S+)$");
  private static final Pattern PORT = Pattern.compile("127\\.0\\.0\\.1:\\d+");
  private static final Set<String> VARYING_HEADERS = Set.of("date");
  private static final EventIds EVENT_IDS = new EventIds(RelayFixture.KEY);

  private final StringBuilder transcript = new StringBuilder();

  /** Records a comment between the messages. */
  TranscriptRecorder recordComment(String text) {
    transcript.append("# ").append(text).append("\n\n");
    return this;
  }

  /** Sends a request and records it. */
  CallerSession sendAndRecord(RelayFixture.Entry entry, String entryName, CallerHttpRequest request)
      throws IOException {
    transcript.append("caller -> ").append(entryName).append('\n');
    transcript.append(request.method()).append(' ').append(request.path()).append('\n');
    request.headers().forEach(this::recordHeader);
    transcript.append('\n');
    if (!request.body().isEmpty()) {
      transcript.append(request.body()).append("\n\n");
    }
    return entry.send(request);
  }

  /** Reads the head of the response and records it. */
  void recordHead(CallerSession session, String entryName) throws IOException {
    session.readHead();
    transcript.append(entryName).append(" -> caller\n").append(session.status()).append('\n');
    new TreeMap<>(session.headers()).forEach(this::recordHeader);
    transcript.append('\n');
  }

  /** Records a part of the body and returns it. */
  String recordBody(String text) {
    transcript.append(normalised(text)).append(text.endsWith("\n") ? "" : "\n\n");
    return text;
  }

  /** Reads the complete response and records it. */
  String recordResponse(CallerSession session, String entryName) throws IOException {
    recordHead(session, entryName);
    return recordBody(session.readBody());
  }

  /** Records the requests that an upstream has received, except status probes. */
  TranscriptRecorder recordRequestsOf(ScriptedUpstream upstream) {
    transcript.append(upstream.name()).append(" has seen\n");
    for (String line : upstream.requestLines) {
      if (!line.startsWith("GET /v1/status")) {
        transcript.append(line).append('\n');
      }
    }
    transcript.append('\n');
    return this;
  }

  private void recordHeader(String name, String value) {
    if (VARYING_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
      return;
    }
    boolean isEventId = name.equals("Last-Event-ID");
    transcript.append(name).append(": ").append(isEventId ? readable(value) : value).append('\n');
  }

  private static String normalised(String text) {
    String readable = EVENT_ID.matcher(text).replaceAll(id -> "id: " + readable(id.group(1)));
    return PORT.matcher(readable).replaceAll("127.0.0.1:PORT");
  }

  private static String readable(String eventId) {
    Either<String, EventId> decoded = EVENT_IDS.decode("lyzicka", eventId);
    if (decoded.isLeft()) {
      return "(not authentic)";
    }
    EventId id = decoded.get();
    String lastMarker = id.isLastToken() ? " last" : "";
    return "("
        + id.upstream()
        + " "
        + id.bootId()
        + " "
        + id.generation()
        + " "
        + id.index()
        + lastMarker
        + ")";
  }

  @Override
  public String toString() {
    return transcript.toString();
  }
}
