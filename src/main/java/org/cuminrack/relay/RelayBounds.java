package org.cuminrack.relay;

import java.time.Duration;

/**
 * Timeouts and memory limits of an entry's data path.
 *
 * @param connectTimeout timeout for connecting to an upstream
 * @param silence how long an upstream connection may be silent before it is considered dead
 * @param engineLoss how long an engine may be unreachable before its generation is considered lost
 * @param stall how long a generation may produce no token before it is cancelled
 * @param slowCaller how long a caller may leave buffered data unread before its stream is cancelled
 * @param slowSender timeout for receiving a request body
 * @param orphan how long an engine continues a generation without a reader
 * @param crashReport how long a response waits for a crash report to be durable
 * @param lateAnswer how long to wait for the response of a non-idempotent call after the caller's
 *     timeout, so that a resend finds it in the ledger
 * @param ledgerWait how long a response waits for its record in the ledger
 * @param maxBodyBytes maximum size of a request body, even if its route allows more
 * @param maxAnswerBytes maximum size of the response of a plain call
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

  /** Returns the default limits. */
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
