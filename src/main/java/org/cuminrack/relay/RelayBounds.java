package org.cuminrack.relay;

import java.time.Duration;

/**
 * Limits of time and memory in an entry's data path.
 *
 * @param connectTimeout how long a connection to an upstream may take to be made
 * @param silence how long an engine may say nothing before its connection counts as dead
 * @param engineLoss how long an engine may be out of reach before its generation counts as lost
 * @param stall how long a generation in progress may bring no token before it is cancelled
 * @param slowCaller how long a caller may leave what was sent to it before its stream is cancelled
 * @param slowSender how long a caller may take to send its body
 * @param orphan how long an engine goes on with a generation that nobody reads
 * @param crashReport how long an answer waits for a crash report to be durable
 * @param lateAnswer how long a call that may not be repeated is waited for after its caller's
 *     timeout, so that a resend finds its answer
 * @param ledgerWait how long an answer waits for the ledger to have recorded it
 * @param maxBodyBytes the largest request body, whatever its route allows
 * @param maxAnswerBytes the largest answer of a plain call
 */
public record RelayBounds(
    Duration connectTimeout,
    Duration silence,
    Duration engineLoss,
    Duration stall,
    Duration slowCaller,
    Duration slowSender,
    Duration orphan,
    Duration crashReport,
    Duration lateAnswer,
    Duration ledgerWait,
    int maxBodyBytes,
    int maxAnswerBytes) {

  /** Returns the limits used where the settings name none. */
  public static RelayBounds defaults() {
    return new RelayBounds(
        Duration.ofMillis(500),
        Duration.ofMillis(1500),
        Duration.ofSeconds(6),
        Duration.ofSeconds(60),
        Duration.ofSeconds(20),
        Duration.ofSeconds(10),
        Duration.ofSeconds(30),
        Duration.ofSeconds(2),
        Duration.ofSeconds(10),
        Duration.ofSeconds(1),
        4 << 20,
        1 << 20);
  }

  public RelayBounds withConnectTimeout(Duration value) {
    return new RelayBounds(
        value,
        silence,
        engineLoss,
        stall,
        slowCaller,
        slowSender,
        orphan,
        crashReport,
        lateAnswer,
        ledgerWait,
        maxBodyBytes,
        maxAnswerBytes);
  }

  public RelayBounds withSilence(Duration value) {
    return new RelayBounds(
        connectTimeout,
        value,
        engineLoss,
        stall,
        slowCaller,
        slowSender,
        orphan,
        crashReport,
        lateAnswer,
        ledgerWait,
        maxBodyBytes,
        maxAnswerBytes);
  }

  public RelayBounds withSlowCaller(Duration value) {
    return new RelayBounds(
        connectTimeout,
        silence,
        engineLoss,
        stall,
        value,
        slowSender,
        orphan,
        crashReport,
        lateAnswer,
        ledgerWait,
        maxBodyBytes,
        maxAnswerBytes);
  }

  public RelayBounds withSlowSender(Duration value) {
    return new RelayBounds(
        connectTimeout,
        silence,
        engineLoss,
        stall,
        slowCaller,
        value,
        orphan,
        crashReport,
        lateAnswer,
        ledgerWait,
        maxBodyBytes,
        maxAnswerBytes);
  }
}
