package org.cuminrack.load;

import java.util.List;
import java.util.Set;
import org.cuminrack.yaml.MappingReader;

/**
 * What one shop's callers send and what serves them.
 *
 * @param name what the profile is called
 * @param service the service of the engines
 * @param dataCentres where the engines are, spread evenly
 * @param engines how many engines there are
 * @param shops how many shop servers there are
 * @param classes kinds of generations
 * @param organisations who sends them
 * @param orders plain calls beside them; at most one kind
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
        reader.each("classes", TrafficClass::read),
        reader.each("organisations", OrganisationShare::read),
        reader.each("orders", OrderTraffic::read));
  }

  /** Returns the data centre that the engine with a number, from 0, is in. */
  public String dataCentreOf(int engine) {
    List<String> all = List.copyOf(dataCentres);
    return all.get(engine % all.size());
  }
}
