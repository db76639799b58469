package org.cuminrack.standin;

import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;

/** The events of one generation and those who read them. Safe for use by many threads. */
final class GenerationLog {
  private final String id;
  private final OutputText text;
  private final boolean poison;
  private final Set<Runnable> readers = new LinkedHashSet<>();
  private int produced;
  private EngineEvent.Kind end;
  private boolean lost;
  private long endedNanos;
  private long readNanos;

  GenerationLog(String id, OutputText text, boolean poison, long nowNanos) {
    this.id = id;
    this.text = text;
    this.poison = poison;
    this.readNanos = nowNanos;
  }

  String id() {
    return id;
  }

  boolean isPoison() {
    return poison;
  }

  /** Adds an event and wakes the readers. */
  void append(EngineEvent event, long nowNanos) {
    Set<Runnable> woken;
    synchronized (this) {
      if (event.kind() == EngineEvent.Kind.TOKEN) {
        produced = event.index() + 1;
      } else {
        end = event.kind();
        endedNanos = nowNanos;
      }
      woken = Set.copyOf(readers);
    }
    woken.forEach(Runnable::run);
  }

  /** Makes the generation lost; its readers' streams break. */
  void lose(long nowNanos) {
    Set<Runnable> woken;
    synchronized (this) {
      lost = true;
      endedNanos = nowNanos;
      woken = Set.copyOf(readers);
    }
    woken.forEach(Runnable::run);
  }

  synchronized void addReader(Runnable reader) {
    readers.add(reader);
  }

  synchronized void removeReader(Runnable reader, long nowNanos) {
    if (readers.remove(reader)) {
      readNanos = nowNanos;
    }
  }

  synchronized boolean isLost() {
    return lost;
  }

  synchronized boolean isEnded() {
    return end != null || lost;
  }

  /** Returns how many events there are: the tokens, and the end once it is there. */
  synchronized int size() {
    return end == null ? produced : produced + 1;
  }

  /** Tells whether the event at an index is the end. */
  synchronized boolean isEnd(int index) {
    return end != null && index == produced;
  }

  /** Returns the event at an index in the form it has in a stream. */
  synchronized String event(int index) {
    String head = "id: " + id + ":" + index + "\ndata: {\"index\":" + index;
    if (end != null && index == produced) {
      return head + ",\"finish_reason\":\"" + end.name().toLowerCase(Locale.ROOT) + "\"}\n\n";
    }
    return head + ",\"text\":\"" + text.word(index) + "\"}\n\n";
  }

  /** Tells whether the generation ended longer ago than this. */
  synchronized boolean endedBefore(long nanos) {
    return isEnded() && endedNanos < nanos;
  }

  /** Tells whether nobody has read it since this instant and it still goes on. */
  synchronized boolean unreadSince(long nanos) {
    return !isEnded() && readers.isEmpty() && readNanos < nanos;
  }

  synchronized boolean isBeingRead() {
    return !readers.isEmpty();
  }
}
