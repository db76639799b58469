package org.cuminrack.wire;

/** The calls between cuminrack's own processes, with their numbers on the wire. */
public enum Method {
  /** Messages of the replicated log between control VMs (quorum.proto). */
  QUORUM_MESSAGE(1),
  /** An entry opens its session and asks for its first lease (control.proto). */
  OPEN_SESSION(10),
  /** An entry renews its lease and says which revision it has in force (control.proto). */
  RENEW_SESSION(11),
  /** An entry that stops gives its session back (control.proto). */
  CLOSE_SESSION(12),
  /** Configuration, members and suspects after a revision (control.proto). */
  FETCH_STATE(13),
  /** An operator's change (control.proto). */
  CHANGE(14),
  /** How far a revision is in force (control.proto). */
  IN_FORCE(15),
  /** Claims a call that may not be repeated (control.proto). */
  CLAIM_CALL(20),
  /** Records how a claimed call ended (control.proto). */
  FINISH_CALL(21),
  /** Reports that an upstream died with these requests running (control.proto). */
  REPORT_CRASH(22),
  /** Clears a request that ran to its end alone (control.proto). */
  CLEAR_SUSPECT(23),
  /** Takes the next fencing number for an order to an upstream (control.proto). */
  TAKE_FENCING_NUMBER(24),
  /** Asks a pool's owner for a ticket (pool.proto). */
  ADMIT(30),
  /** Returns a ticket with its outcome (pool.proto). */
  RETURN_TICKET(31),
  /** Hands a pool's state to its next owner (pool.proto). */
  HAND_OVER(32),
  /** Free capacity of the pools that a node owns (pool.proto). */
  POOL_DIGESTS(33),
  /** Passes an upstream's announcement or report to the owner (pool.proto). */
  FORWARD_ANNOUNCEMENT(34),
  /** A gateway asks a control VM for routing, upstreams and gateways (fleet.proto). */
  WATCH_FLEET(50),
  /** A control VM passes upstreams' announcements on to another (fleet.proto). */
  SHARE_UPSTREAMS(51),
  /** A gateway tells another what it has running on upstreams (fleet.proto). */
  SHARE_LOAD(52),
  /** The state of a process, as text (control.proto). */
  DUMP(40);

  private final int number;

  Method(int number) {
    this.number = number;
  }

  /** Returns the number that stands for this method on the wire. */
  public int number() {
    return number;
  }
}
