package org.cuminrack.quorum;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A state machine that stores each command as a line of text. */
final class TextList implements StateMachine {
  private static final String LINE_END = "\n";
  private final List<String> lines = new ArrayList<>();

  @Override
  public synchronized byte[] apply(long index, byte[] command) {
    lines.add(new String(command, StandardCharsets.UTF_8));
    return bytes(lines.get(lines.size() - 1) + "@" + index);
  }

  @Override
  public synchronized byte[] snapshot() {
    return bytes(String.join(LINE_END, lines));
  }

  @Override
  public synchronized void restore(long index, byte[] snapshot) {
    lines.clear();
    String text = new String(snapshot, StandardCharsets.UTF_8);
    if (!text.isEmpty()) {
      lines.addAll(List.of(text.split(LINE_END)));
    }
  }

  synchronized List<String> lines() {
    return List.copyOf(lines);
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
