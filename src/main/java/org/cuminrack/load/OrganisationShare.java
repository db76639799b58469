package org.cuminrack.load;

import org.cuminrack.yaml.MappingReader;

/**
 * How much of the load one organisation sends.
 *
 * @param name the organisation
 * @param share its part of the load, relative to the others
 * @param weight the share of a crowded pool that operators give it
 */
public record OrganisationShare(String name, int share, int weight) {

  static OrganisationShare read(MappingReader reader) {
    return new OrganisationShare(
        reader.name("name"),
        reader.number("share", 1, 1_000_000),
        reader.number("weight", 1, 1, 1_000));
  }
}
