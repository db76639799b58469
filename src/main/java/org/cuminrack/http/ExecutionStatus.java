package org.cuminrack.http;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Whether an upstream executed any part of a request that was answered with an error. */
public enum ExecutionStatus {
  /** No part of it was or will be executed; this is certain. */
  NO,
  /** It may have been executed. */
  UNKNOWN;

  @JsonValue
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
