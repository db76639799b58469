package org.cuminrack.quorum.internal;

/**
 * A replica: a VM together with the disk that it had. A VM whose disk was lost comes back under
 * another incarnation and is another replica.
 *
 * @param vmName the VM's name in the settings
 * @param incarnation drawn at random when the data folder was first used; never 0
 */
public record ReplicaId(String vmName, long incarnation) {

  @Override
  public String toString() {
    return vmName + "#" + Long.toHexString(incarnation);
  }
}
