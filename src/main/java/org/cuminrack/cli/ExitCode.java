package org.cuminrack.cli;

/** The exit codes that scripts can rely on. */
public enum ExitCode {
  /** It was done. */
  DONE(0),
  /** It was refused or failed; nothing was changed. */
  FAILED(1),
  /** The command line, settings or configuration are wrong. */
  USAGE(2),
  /** Another change came first: the object is at another revision. */
  CONFLICT(3),
  /** The answer was lost: send the change again with the same change id. */
  UNKNOWN(4),
  /** It is accepted, but not in force everywhere within the time given. */
  NOT_IN_FORCE(5);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the code that the process ends with. */
  public int code() {
    return code;
  }
}
