package org.cuminrack.relay;

/** How the engine or the generation was lost. */
enum EngineLoss {
  /** The engine's process has ended, or was replaced by another one. */
  PROCESS_DIED,
  /** The engine is running but no longer has the generation. */
  GENERATION_NOT_FOUND,
  /** The engine cannot be reached or does not respond. */
  UNREACHABLE
}
