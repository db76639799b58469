package org.cuminrack.control;

import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.member.ControlClient;
import org.cuminrack.member.EntryIdentity;
import org.cuminrack.member.SessionClient;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.WireClient;

/** The session of one entry, over its own connection. */
final class MeasuredEntry implements ManagedService {
  private final WireClient wire = new WireClient(MeasuredControl.GROUP);
  private final SessionClient session;

  MeasuredEntry(int number, MeasuredControl control, Clock clock) {
    EntryIdentity identity =
        new EntryIdentity("entry-" + number, "dc-a", "127.0.0.1:8080", "127.0.0.1:7080");
    ControlClient calls = new ControlClient(wire, control.addresses(), clock);
    session = new SessionClient(identity, calls, LeaseSettings.standard(), clock);
  }

  @Override
  public void start() {
    wire.start();
    session.start();
  }

  boolean isReady() {
    return session.hasValidLease();
  }

  @Override
  public void stop() {
    session.stop();
    wire.stop();
  }
}
