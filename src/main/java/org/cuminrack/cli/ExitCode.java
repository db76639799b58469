package org.cuminrack.cli;

/** The exit codes that scripts can rely on. */
public enum ExitCode {
  /** The command succeeded. */
  DONE(0),
  /** The command was rejected or failed; nothing was changed. */
  FAILED(1),
  /** The command line, settings or configuration are invalid. */
  USAGE(2),
  /** The object is not at the expected revision, since another change was applied first. */
  CONFLICT(3),
  /** The outcome is unknown; send the change again with the same change id. */
  UNKNOWN(4),
  /** The change was accepted but is not in force everywhere within the wait time. */
  NOT_IN_FORCE(5);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit code of the process. */
  public int code() {
    return code;
  }
}
