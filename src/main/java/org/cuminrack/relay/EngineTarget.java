package org.cuminrack.relay;

import org.cuminrack.admission.Ticket;

/**
 * One life of one upstream.
 *
 * @param upstream the upstream's name
 * @param address host and port
 * @param bootId the life
 */
record EngineTarget(String upstream, String address, String bootId) {

  static EngineTarget of(Ticket ticket) {
    return new EngineTarget(ticket.upstream(), ticket.address(), ticket.bootId());
  }
}
