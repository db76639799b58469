package org.cuminrack.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a site offers and has to bear.
 *
 * @param diskVmCounts the number of VMs with a disk in each data centre
 * @param vmLosses the number of these that may be lost at the same time
 * @param dataCentreLosses the number of data centres that may be lost instead
 */
record ControlSite(List<Integer> diskVmCounts, int vmLosses, int dataCentreLosses) {
  static final ControlSite GROWN = new ControlSite(List.of(3, 2, 2, 2), 2, 1);
  static final ControlSite STANDARD = new ControlSite(List.of(2, 2, 1), 1, 1);

  private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
  private static final Pattern CONTROL_PLACEMENT =
      Pattern.compile("(?ms)^\\[roles\\.control]$[^\\[]*?^(count|share) = ([0-9.]+)$");

  /** Returns how many VMs of each data centre run the control process by the deploy file. */
  List<Integer> controlVmCounts() throws IOException {
    Matcher placement = CONTROL_PLACEMENT.matcher(Files.readString(DEPLOY_FILE));
    if (!placement.find()) {
      throw new AssertionError("expected a placement of control in " + DEPLOY_FILE);
    }
    double number = Double.parseDouble(placement.group(2));
    boolean isShare = placement.group(1).equals("share");
    return diskVmCounts.stream()
        .map(vms -> (int) (isShare ? Math.ceil(number * vms) : Math.min(number, vms)))
        .toList();
  }
}
