package org.cuminrack.settings;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Derives wire addresses from seeds, which are the control VMs' addresses for operators. The name
 * of such a VM is its IP address, and the wire port is the same on all VMs.
 */
final class SeedAddresses {

  private SeedAddresses() {}

  /** Returns wire addresses by VM name. */
  static Map<String, String> byName(Set<String> seeds, int wirePort) {
    Map<String, String> addresses = new LinkedHashMap<>();
    for (String seed : seeds) {
      int colon = seed.lastIndexOf(':');
      String host = colon < 0 ? seed : seed.substring(0, colon);
      addresses.put(host, host + ":" + wirePort);
    }
    return addresses;
  }
}
