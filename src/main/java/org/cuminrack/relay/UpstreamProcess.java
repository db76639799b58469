package org.cuminrack.relay;

import org.cuminrack.admission.Ticket;

/**
 * One process of an upstream, from its start to its end.
 *
 * @param upstream the upstream's name
 * @param address host and port
 * @param bootId identifies the process; changes with each start of the upstream
 */
public record UpstreamProcess(String upstream, String address, String bootId) {

  static UpstreamProcess of(Ticket ticket) {
    return new UpstreamProcess(ticket.upstream(), ticket.address(), ticket.bootId());
  }
}
