package org.cuminrack.fleet;

/**
 * What a gateway may use; zero where nothing is stated.
 *
 * @param cores the share of processors
 * @param linkMbps the rate of its link, in Mbit/s
 */
public record GatewaySize(double cores, double linkMbps, int memoryMb, int descriptors) {
  /** Nothing is stated. */
  public static final GatewaySize UNKNOWN = new GatewaySize(0, 0, 0, 0);

  /** Returns whether the processors or the link, by which gateways are compared, are stated. */
  public boolean isStated() {
    return isPositive(cores) || isPositive(linkMbps);
  }

  private static boolean isPositive(double value) {
    return Double.isFinite(value) && value > 0;
  }
}
