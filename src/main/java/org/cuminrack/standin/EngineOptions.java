package org.cuminrack.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.UUID;

/**
 * How a stand-in engine is set up.
 *
 * @param name the upstream's name
 * @param dataCentre where it is
 * @param service what it offers
 * @param listen where it listens; port 0 takes any free one
 * @param entries host and port of the entries it announces itself to
 * @param bootId this life of the engine; unique
 * @param model the model it begins with
 * @param version the model's version
 * @param profile its cost and memory
 * @param startsWarm whether it begins warm
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param distinctPerBoot whether another life answers the same prompt with other words
 * @param outputLengths lengths of outputs that no marker sets
 * @param lag how late and gappy its reports are
 */
public record EngineOptions(
    String name,
    String dataCentre,
    String service,
    InetSocketAddress listen,
    List<String> entries,
    String bootId,
    String model,
    String version,
    EngineProfile profile,
    boolean startsWarm,
    boolean checksFencing,
    boolean distinctPerBoot,
    OutputLengths outputLengths,
    ReportLag lag) {

  /** A cold engine that checks fencing numbers, on any free port of the loopback address. */
  public static EngineOptions of(
      String name, String dataCentre, String service, List<String> entries) {
    return new EngineOptions(
        name,
        dataCentre,
        service,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        entries,
        newBootId(),
        "planner",
        "1",
        EngineProfile.standard(),
        false,
        true,
        false,
        OutputLengths.standard(),
        ReportLag.standard(name.hashCode()));
  }

  /** Returns an id that no other life of an upstream has. */
  public static String newBootId() {
    return UUID.randomUUID().toString();
  }

  /** Returns these options with an engine that begins warm or cold. */
  public EngineOptions withStartsWarm(boolean value) {
    return new EngineOptions(
        name,
        dataCentre,
        service,
        listen,
        entries,
        bootId,
        model,
        version,
        profile,
        value,
        checksFencing,
        distinctPerBoot,
        outputLengths,
        lag);
  }

  /** Returns these options with another cost and memory. */
  public EngineOptions withProfile(EngineProfile value) {
    return new EngineOptions(
        name,
        dataCentre,
        service,
        listen,
        entries,
        bootId,
        model,
        version,
        value,
        startsWarm,
        checksFencing,
        distinctPerBoot,
        outputLengths,
        lag);
  }

  /** Returns these options with answers that tell one life of the engine from another. */
  public EngineOptions withDistinctPerBoot(boolean value) {
    return new EngineOptions(
        name,
        dataCentre,
        service,
        listen,
        entries,
        bootId,
        model,
        version,
        profile,
        startsWarm,
        checksFencing,
        value,
        outputLengths,
        lag);
  }
}
