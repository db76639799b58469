package org.cuminrack.settings;

import java.net.InetSocketAddress;
import org.cuminrack.wire.WireGroup;
import org.cuminrack.yaml.MappingReader;

/**
 * The settings that all kinds of processes have in common.
 *
 * @param vm the VM's name, unique in its group
 * @param group the region and group of the process
 * @param dataCentre the data centre of the VM
 * @param wireAddress the address for other cuminrack processes
 * @param httpAddress the HTTP address, for callers, upstreams and operators
 */
public record NodeSettings(
    String vm,
    WireGroup group,
    String dataCentre,
    InetSocketAddress wireAddress,
    InetSocketAddress httpAddress) {
  private static final String DEFAULT_GROUP = "main";

  static NodeSettings read(MappingReader reader) {
    return new NodeSettings(
        reader.name("vm"),
        new WireGroup(reader.name("region"), reader.text("group", DEFAULT_GROUP)),
        reader.name("data_centre"),
        reader.address("wire_address"),
        reader.address("http_address"));
  }
}
