package org.cuminrack.standin;

import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;

/** The events of one generation and its readers. Thread-safe. */
final class GenerationLog {
  private final String id;
  private final OutputText text;
  private final boolean poison;
  private final Set<Runnable> readers = new LinkedHashSet<>();
  private int producedTokens;
  private EngineEvent.Kind endKind;
  private boolean lost;
  private long endedNanos;
  private long lastReadNanos;

  GenerationLog(String id, OutputText text, boolean poison, long nowNanos) {
    this.id = id;
    this.text = text;
    this.poison = poison;
    this.lastReadNanos = nowNanos;
  }

  String id() {
    return id;
  }

  boolean isPoison() {
    return poison;
  }

  /** Appends an event and notifies the readers. */
  void append(EngineEvent event, long nowNanos) {
    Set<Runnable> notified;
    synchronized (this) {
      if (event.kind() == EngineEvent.Kind.TOKEN) {
        producedTokens = event.index() + 1;
      } else {
        endKind = event.kind();
        endedNanos = nowNanos;
      }
      notified = Set.copyOf(readers);
    }
    notified.forEach(Runnable::run);
  }

  /** Marks the generation as lost, which aborts its readers' streams. */
  void markLost(long nowNanos) {
    Set<Runnable> notified;
    synchronized (this) {
      lost = true;
      endedNanos = nowNanos;
      notified = Set.copyOf(readers);
    }
    notified.forEach(Runnable::run);
  }

  synchronized void addReader(Runnable reader) {
    readers.add(reader);
  }

  synchronized void removeReader(Runnable reader, long nowNanos) {
    if (readers.remove(reader)) {
      lastReadNanos = nowNanos;
    }
  }

  synchronized boolean isLost() {
    return lost;
  }

  synchronized boolean isEnded() {
    return endKind != null || lost;
  }

  /** Returns the number of events: the tokens, plus the end event once the generation has ended. */
  synchronized int size() {
    return endKind == null ? producedTokens : producedTokens + 1;
  }

  /** Returns whether the event at an index is the end event. */
  synchronized boolean isEndEvent(int index) {
    return endKind != null && index == producedTokens;
  }

  /** Returns the event at an index as server-sent event text. */
  synchronized String eventText(int index) {
    String prefix = "id: " + id + ":" + index + "\ndata: {\"index\":" + index;
    if (endKind != null && index == producedTokens) {
      return prefix + ",\"finish_reason\":\"" + endKind.name().toLowerCase(Locale.ROOT) + "\"}\n\n";
    }
    return prefix + ",\"text\":\"" + text.word(index) + "\"}\n\n";
  }

  /** Returns whether the generation ended before this instant. */
  synchronized boolean hasEndedBefore(long instantNanos) {
    return isEnded() && endedNanos < instantNanos;
  }

  /** Returns whether the generation is still running and has had no reader since this instant. */
  synchronized boolean isUnreadSince(long instantNanos) {
    return !isEnded() && readers.isEmpty() && lastReadNanos < instantNanos;
  }

  synchronized boolean hasReaders() {
    return !readers.isEmpty();
  }
}
