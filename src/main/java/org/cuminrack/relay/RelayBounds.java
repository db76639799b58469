package org.cuminrack.relay;

import java.time.Duration;

/**
 * Timeouts and memory limits of an entry's data path.
 *
 * @param connectTimeout timeout for connecting to an upstream
 * @param silenceTimeout how long an upstream connection may be silent before it is considered dead
 * @param engineLossTimeout how long an engine may be unreachable after its first token before its
 *     generation is considered lost
 * @param stallTimeout how long a generation may go without a new token before it is cancelled
 * @param unreadDataTimeout how long a caller may leave buffered data unread before its connection
 *     is closed and its generation cancelled
 * @param requestBodyTimeout timeout for receiving a request body
 * @param abandonedTicketTimeout how long to keep the ticket of a generation after its caller has
 *     disconnected, as the engine continues for about that time
 * @param crashReportTimeout how long a response waits for a crash report to be durable
 * @param lateResponseTimeout how long to wait for the response of an at-most-once call after the
 *     caller's timeout, so that a resend finds it in the ledger
 * @param ledgerTimeout how long a response waits for its record in the ledger
 * @param maxBodyBytes maximum size of a request body, even if its route allows more
 * @param maxResponseBytes maximum size of the response of a plain call
 */
public record RelayBounds(
    Duration connectTimeout,
    Duration silenceTimeout,
    Duration engineLossTimeout,
    Duration stallTimeout,
    Duration unreadDataTimeout,
    Duration requestBodyTimeout,
    Duration abandonedTicketTimeout,
    Duration crashReportTimeout,
    Duration lateResponseTimeout,
    Duration ledgerTimeout,
    int maxBodyBytes,
    int maxResponseBytes) {

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
        silenceTimeout,
        engineLossTimeout,
        stallTimeout,
        unreadDataTimeout,
        requestBodyTimeout,
        abandonedTicketTimeout,
        crashReportTimeout,
        lateResponseTimeout,
        ledgerTimeout,
        maxBodyBytes,
        maxResponseBytes);
  }

  public RelayBounds withSilenceTimeout(Duration value) {
    return new RelayBounds(
        connectTimeout,
        value,
        engineLossTimeout,
        stallTimeout,
        unreadDataTimeout,
        requestBodyTimeout,
        abandonedTicketTimeout,
        crashReportTimeout,
        lateResponseTimeout,
        ledgerTimeout,
        maxBodyBytes,
        maxResponseBytes);
  }

  public RelayBounds withCrashReportTimeout(Duration value) {
    return new RelayBounds(
        connectTimeout,
        silenceTimeout,
        engineLossTimeout,
        stallTimeout,
        unreadDataTimeout,
        requestBodyTimeout,
        abandonedTicketTimeout,
        value,
        lateResponseTimeout,
        ledgerTimeout,
        maxBodyBytes,
        maxResponseBytes);
  }

  public RelayBounds withUnreadDataTimeout(Duration value) {
    return new RelayBounds(
        connectTimeout,
        silenceTimeout,
        engineLossTimeout,
        stallTimeout,
        value,
        requestBodyTimeout,
        abandonedTicketTimeout,
        crashReportTimeout,
        lateResponseTimeout,
        ledgerTimeout,
        maxBodyBytes,
        maxResponseBytes);
  }

  public RelayBounds withRequestBodyTimeout(Duration value) {
    return new RelayBounds(
        connectTimeout,
        silenceTimeout,
        engineLossTimeout,
        stallTimeout,
        unreadDataTimeout,
        value,
        abandonedTicketTimeout,
        crashReportTimeout,
        lateResponseTimeout,
        ledgerTimeout,
        maxBodyBytes,
        maxResponseBytes);
  }
}
