package org.cuminrack.standin;

import java.util.concurrent.atomic.AtomicReference;

/** The behaviour that is in force in one stand-in. */
final class BehaviourHolder {
  private final AtomicReference<Behaviour> behaviour = new AtomicReference<>(Behaviour.good());

  Behaviour now() {
    return behaviour.get();
  }

  void set(Behaviour next) {
    behaviour.set(next);
  }
}
