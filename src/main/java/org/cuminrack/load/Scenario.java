package org.cuminrack.load;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/** What happens to the system while it serves a load below its capacity. */
public enum Scenario {
  /** Operators take a data centre out; its engines come back cold. */
  DATA_CENTRE_OUT,
  /** A warm engine turns cold without a warning. */
  ENGINE_COLD,
  /** A large organisation sends ten times its share. */
  ORGANISATION_SURGE;

  /** When it begins. */
  static final Duration FROM = Duration.ofMinutes(4);

  /** When what can end ends. */
  static final Duration TO = Duration.ofMinutes(7);

  private static final Duration IN_FORCE_AFTER = Duration.ofMillis(500);
  private static final int SURGE_FACTOR = 10;
  private static final int SURGING = 1;

  /** Returns what it is called on the command line and in tables. */
  public String word() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the organisation that surges: the second largest. */
  static String surgingOrganisation(LoadProfile profile) {
    return profile.organisations().get(SURGING).name();
  }

  Optional<Surge> surge(LoadProfile profile) {
    if (this != ORGANISATION_SURGE) {
      return Optional.empty();
    }
    String organisation = surgingOrganisation(profile);
    return Optional.of(new Surge(organisation, SURGE_FACTOR, FROM, TO.minus(FROM)));
  }

  /** Puts what happens on the experiment's timeline. */
  void prepare(Experiment experiment, LoadProfile profile) {
    Timeline timeline = experiment.timeline();
    if (this == ENGINE_COLD) {
      timeline.at(FROM.toNanos(), () -> experiment.engine(0).makeCold());
    }
    if (this == DATA_CENTRE_OUT) {
      String dataCentre = profile.dataCentreOf(0);
      timeline.at(FROM.plus(IN_FORCE_AFTER).toNanos(), () -> experiment.drain(dataCentre, true));
      timeline.at(TO.toNanos(), () -> experiment.restart(dataCentre));
      timeline.at(TO.plus(IN_FORCE_AFTER).toNanos(), () -> experiment.drain(dataCentre, false));
    }
  }
}
