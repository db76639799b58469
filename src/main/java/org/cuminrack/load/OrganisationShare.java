package org.cuminrack.load;

import org.cuminrack.yaml.MappingReader;

/**
 * The share of the load that one organisation sends.
 *
 * @param name the name of the organisation
 * @param share its part of the load, relative to the other organisations
 * @param weight its fair-queueing weight as set by operators, used when a pool is overloaded;
 *     default 1
 */
public record OrganisationShare(String name, int share, int weight) {

  static OrganisationShare read(MappingReader reader) {
    return new OrganisationShare(
        reader.name("name"),
        reader.number("share", 1, 1_000_000),
        reader.number("weight", 1, 1, 1_000));
  }
}
