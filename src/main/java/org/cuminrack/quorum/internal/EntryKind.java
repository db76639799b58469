package org.cuminrack.quorum.internal;

/** The kind of a log entry. */
public enum EntryKind {
  /** A command for the state machine. */
  COMMAND(1),
  /** The first entry of a leader's term; has no effect on the state machine. */
  NO_OPERATION(2),
  /** A new {@link VoterSet}, effective as soon as it is in the log. */
  VOTERS(3);

  private final int number;

  EntryKind(int number) {
    this.number = number;
  }

  /** Returns the number of this kind on the wire and on disk. */
  public int number() {
    return number;
  }

  /** Returns the kind with a number. */
  public static EntryKind of(int number) {
    for (EntryKind kind : values()) {
      if (kind.number == number) {
        return kind;
      }
    }
    throw new IllegalArgumentException("entry kind: expected 1 to 3, found " + number);
  }
}
