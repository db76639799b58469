package org.cuminrack.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Asks control whether a suspended request may run once more. */
public interface SuspectTrials {

  /**
   * Requests a trial of a request that is suspended for all the trial's suspects; the future always
   * completes normally.
   */
  CompletableFuture<Outcome> request(SuspectTrial trial);

  /**
   * Gives back a trial that was granted, but not run, so that another request may have it; has no
   * effect if it was not granted.
   */
  void giveBack(SuspectTrial trial);

  /** Control's answer. */
  sealed interface Outcome {}

  /** The request may run once, at the gateway that asked. */
  record Granted() implements Outcome {}

  /** No trial is due. */
  record Denied(Duration retryAfter) implements Outcome {}

  /** Control did not answer. */
  record Unavailable(String detail) implements Outcome {}
}
