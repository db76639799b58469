package org.cuminrack.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.UUID;

/**
 * The configuration of a stand-in engine.
 *
 * @param name the upstream's name
 * @param dataCentre the data centre it is in
 * @param service the service it offers
 * @param listen the listen address; port 0 selects any free port
 * @param entries host and port of the entries to which it can announce itself
 * @param bootId unique id of this boot of the engine
 * @param model the model loaded at the start
 * @param version the model's version
 * @param profile its step costs and memory
 * @param startsWarm whether it starts warm
 * @param checksFencing whether it refuses commands with an outdated fencing number
 * @param distinctPerBoot whether responses to the same prompt differ between boots
 * @param outputLengths distribution of output lengths for prompts without a length marker
 * @param lag the delay and loss of its reports
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

  /** Returns options for a cold engine that checks fencing numbers, on a free loopback port. */
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

  /** Returns an id that is unique among all boots of all upstreams. */
  public static String newBootId() {
    return UUID.randomUUID().toString();
  }

  /** Returns these options with an engine that starts warm or cold. */
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

  /** Returns these options with different step costs and memory. */
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

  /** Returns these options with responses that differ, or do not differ, between boots. */
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
