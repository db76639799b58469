package org.cuminrack.relay;

/** How a generation was lost. */
enum EngineLoss {
  /** The engine's process has ended, or another one has taken its place. */
  PROCESS_DIED,
  /** The engine lives and knows nothing of the generation any more. */
  GENERATION_GONE,
  /** The engine can't be reached, or says nothing. */
  OUT_OF_REACH
}
