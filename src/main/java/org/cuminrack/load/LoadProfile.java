package org.cuminrack.load;

import java.util.List;
import java.util.Set;
import org.cuminrack.yaml.MappingReader;

/**
 * The requests that callers send and the upstreams that serve them.
 *
 * @param name the name of the profile
 * @param service the service of the engines
 * @param dataCentres data centres over which the engines are evenly spread
 * @param engines number of engines
 * @param shops number of shop servers
 * @param classes traffic classes of generations
 * @param organisations organisations that send the requests
 * @param orders plain HTTP calls sent in addition; at most one kind
 */
public record LoadProfile(
    String name,
    String service,
    Set<String> dataCentres,
    int engines,
    int shops,
    List<TrafficClass> classes,
    List<OrganisationShare> organisations,
    List<OrderTraffic> orders) {

  static LoadProfile read(MappingReader reader) {
    return new LoadProfile(
        reader.name("name"),
        reader.name("service"),
        reader.texts("data_centres"),
        reader.number("engines", 1, 64),
        reader.number("shops", 0, 64),
        reader.readList("classes", TrafficClass::read),
        reader.readList("organisations", OrganisationShare::read),
        reader.readList("orders", OrderTraffic::read));
  }

  /** Returns the data centre of an engine, which is numbered from 0. */
  public String dataCentreOf(int engine) {
    List<String> all = List.copyOf(dataCentres);
    return all.get(engine % all.size());
  }
}
