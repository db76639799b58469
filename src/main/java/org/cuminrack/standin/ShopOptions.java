package org.cuminrack.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The configuration of a stand-in shop.
 *
 * @param name the upstream's name
 * @param dataCentre the data centre it is in
 * @param service the service it offers
 * @param listen the listen address; port 0 selects any free port
 * @param entries host and port of the entries to which it can announce itself
 * @param bootId unique id of this boot of the shop
 * @param coldLimit concurrent calls it can handle right after its start
 * @param warmLimit concurrent calls it can handle once warm
 * @param serviceMillis the duration of a call
 * @param lag the delay of its reports
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

  /** Returns options for a shop on a free loopback port. */
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
