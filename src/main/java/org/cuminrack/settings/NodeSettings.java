package org.cuminrack.settings;

import java.net.InetSocketAddress;
import org.cuminrack.wire.WireGroup;
import org.cuminrack.yaml.MappingReader;

/**
 * What every process is told of its place.
 *
 * @param vm the VM's name, unique in its group
 * @param group the region and group it belongs to
 * @param dataCentre the data centre it stands in
 * @param wireAddress where other cuminrack processes connect
 * @param httpAddress where callers, upstreams and operators connect
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
