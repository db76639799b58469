package org.cuminrack.wire;

/** The methods that cuminrack processes call on each other, with their numbers on the wire. */
public enum Method {
  /** Messages of the replicated log between control VMs (quorum.proto). */
  QUORUM_MESSAGE(1),
  /** Opens an entry's session (control.proto). */
  OPEN_SESSION(10),
  /** Renews an entry's lease and reports the revision that it has applied (control.proto). */
  RENEW_SESSION(11),
  /** Ends the session of a stopping entry, or only marks the entry as stopping (control.proto). */
  CLOSE_SESSION(12),
  /** Fetches configuration, members and suspects newer than a revision (control.proto). */
  FETCH_STATE(13),
  /** Applies an operator's change (control.proto). */
  CHANGE(14),
  /** Returns whether a revision is in force, and at which entries it is not (control.proto). */
  IN_FORCE(15),
  /** Claims a non-idempotent call (control.proto). */
  CLAIM_CALL(20),
  /** Records the outcome of a claimed call (control.proto). */
  FINISH_CALL(21),
  /** Reports the requests that were running on an upstream when it crashed (control.proto). */
  REPORT_CRASH(22),
  /** Clears a suspect request that completed in isolation (control.proto). */
  CLEAR_SUSPECT(23),
  /** Allocates the next fencing number for a command to an upstream (control.proto). */
  TAKE_FENCING_NUMBER(24),
  /** Requests permission to run a suspended suspect once more (control.proto). */
  TRY_SUSPECT(25),
  /** Tells another control VM which sessions have renewed their lease (control.proto). */
  SHARE_RENEWALS(26),
  /** Returns the renewals that a control VM has been told of (control.proto). */
  KNOWN_RENEWALS(27),
  /** Records that an upstream drains or has left (control.proto). */
  RECORD_DEPARTURE(28),
  /** Returns whether the disk of a control VM accepts writes (control.proto). */
  DISK_STATE(29),
  /** Requests an admission ticket from a pool's owner (pool.proto). */
  ADMIT(30),
  /** Returns a ticket with its outcome (pool.proto). */
  RETURN_TICKET(31),
  /** Hands a pool's state to its next owner (pool.proto). */
  HAND_OVER(32),
  /** Returns the free capacity of the pools that a node owns (pool.proto). */
  POOL_DIGESTS(33),
  /** Forwards an upstream's announcement or report to the pool's owner (pool.proto). */
  FORWARD_ANNOUNCEMENT(34),
  /** Waits for changes of routing, upstreams and gateways, for a gateway (fleet.proto). */
  WATCH_FLEET(50),
  /** Shares upstreams' announcements between control VMs (fleet.proto). */
  SHARE_UPSTREAMS(51),
  /** Tells the board of a pool a gateway's load, and returns that of the others (board.proto). */
  BOARD(53),
  /** Reports what the versions of services that are rolled out answered (rollout.proto). */
  REPORT_ROLLOUT(54),
  /** Rolls back the running roll-out of a service (rollout.proto). */
  HALT_ROLLOUT(55),
  /** Returns the state of a process, as text (control.proto). */
  DUMP(40);

  private final int number;

  Method(int number) {
    this.number = number;
  }

  /** Returns this method's number on the wire. */
  public int number() {
    return number;
  }
}
