package org.cuminrack.http;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** What a refusal says of the request: whether an upstream ran any of it. */
public enum Ran {
  /** Proved: no byte of it was or will be run. */
  NO,
  /** It may have run. */
  UNKNOWN;

  @JsonValue
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
