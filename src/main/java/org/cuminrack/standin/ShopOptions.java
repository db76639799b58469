package org.cuminrack.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * How a stand-in shop is set up.
 *
 * @param name the upstream's name
 * @param dataCentre where it is
 * @param service what it offers
 * @param listen where it listens; port 0 takes any free one
 * @param entries host and port of the entries it announces itself to
 * @param bootId this life of the shop; unique
 * @param coldLimit concurrent calls it carries just after its start
 * @param warmLimit concurrent calls it carries later
 * @param serviceMillis how long a call takes
 * @param lag how late its reports are
 */
public record ShopOptions(
    String name,
    String dataCentre,
    String service,
    InetSocketAddress listen,
    List<String> entries,
    String bootId,
    int coldLimit,
    int warmLimit,
    int serviceMillis,
    ReportLag lag) {
  private static final int COLD_LIMIT = 16;
  private static final int WARM_LIMIT = 64;
  private static final int SERVICE_MILLIS = 5;

  /** A shop on any free port of the loopback address. */
  public static ShopOptions of(
      String name, String dataCentre, String service, List<String> entries) {
    return new ShopOptions(
        name,
        dataCentre,
        service,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        entries,
        EngineOptions.newBootId(),
        COLD_LIMIT,
        WARM_LIMIT,
        SERVICE_MILLIS,
        ReportLag.standard(name.hashCode()));
  }
}
