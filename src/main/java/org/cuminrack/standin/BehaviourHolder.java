package org.cuminrack.standin;

import java.util.concurrent.atomic.AtomicReference;

/** Holds the current behaviour of one stand-in. */
final class BehaviourHolder {
  private final AtomicReference<Behaviour> behaviour = new AtomicReference<>(Behaviour.normal());

  Behaviour current() {
    return behaviour.get();
  }

  void set(Behaviour next) {
    behaviour.set(next);
  }
}
