package org.cuminrack.relay;

/** How an upstream, or a generation on it, was lost. */
enum UpstreamLoss {
  /** The upstream's process has ended, or has been replaced by another process. */
  PROCESS_DIED,
  /** The upstream responds, but the generation, or the response to a plain call, was lost. */
  GENERATION_NOT_FOUND,
  /** The upstream cannot be reached or does not respond. */
  UNREACHABLE
}
