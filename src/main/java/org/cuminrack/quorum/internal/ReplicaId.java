package org.cuminrack.quorum.internal;

/**
 * Identifies a replica: a VM and the incarnation of its disk. A VM that loses its disk returns with
 * a new incarnation, as another replica.
 *
 * @param vmName the VM's name in the settings, or its IP address if it joined an open group later
 * @param incarnation a random number drawn when the data folder is first used; never 0
 */
public record ReplicaId(String vmName, long incarnation) {

  @Override
  public String toString() {
    return vmName + "#" + Long.toHexString(incarnation);
  }
}
