package org.cuminrack.load;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/** A disturbance of the system while it serves a load below its capacity. */
public enum Scenario {
  /** Operators drain a data centre; its engines restart cold. */
  DATA_CENTRE_OUT,
  /** A warm engine becomes cold without notice. */
  ENGINE_COLD,
  /** A large organisation sends ten times its share. */
  ORGANISATION_SURGE;

  /** When the disturbance starts, from the start of the run. */
  static final Duration START = Duration.ofMinutes(4);

  /** When the disturbance ends, if it has an end. */
  static final Duration END = Duration.ofMinutes(7);

  private static final Duration CONFIGURATION_DELAY = Duration.ofMillis(500);
  private static final int SURGE_FACTOR = 10;
  private static final int SURGING_ORGANISATION_INDEX = 1;

  /** Returns the name used on the command line and in tables. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the organisation that surges: the second largest. */
  static String surgingOrganisation(LoadProfile profile) {
    return profile.organisations().get(SURGING_ORGANISATION_INDEX).name();
  }

  Optional<Surge> surge(LoadProfile profile) {
    if (this != ORGANISATION_SURGE) {
      return Optional.empty();
    }
    String organisation = surgingOrganisation(profile);
    return Optional.of(new Surge(organisation, SURGE_FACTOR, START, END.minus(START)));
  }

  /** Schedules the disturbance in the simulation. */
  void schedule(Simulation simulation, LoadProfile profile) {
    Timeline timeline = simulation.timeline();
    if (this == ENGINE_COLD) {
      timeline.at(START.toNanos(), () -> simulation.engine(0).makeCold());
    }
    if (this == DATA_CENTRE_OUT) {
      String dataCentre = profile.dataCentreOf(0);
      timeline.at(
          START.plus(CONFIGURATION_DELAY).toNanos(), () -> simulation.drain(dataCentre, true));
      timeline.at(END.toNanos(), () -> simulation.restart(dataCentre));
      timeline.at(
          END.plus(CONFIGURATION_DELAY).toNanos(), () -> simulation.drain(dataCentre, false));
    }
  }
}
