package org.cuminrack.operator;

import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.DataCentre;
import org.cuminrack.config.Organisation;
import org.cuminrack.config.Rollout;
import org.cuminrack.config.Route;
import org.cuminrack.config.Service;
import org.cuminrack.config.ServiceKind;
import org.cuminrack.config.Upstream;
import org.cuminrack.yaml.MappingReader;

/** The top-level lists of a configuration file, in file order. */
enum ConfigSection {
  ORGANISATIONS("organisations", ConfigKind.ORGANISATION),
  SERVICES("services", ConfigKind.SERVICE),
  ROUTES("routes", ConfigKind.ROUTE),
  DATA_CENTRES("data_centres", ConfigKind.DATA_CENTRE),
  UPSTREAMS("upstreams", ConfigKind.UPSTREAM),
  ROLLOUTS("rollouts", ConfigKind.ROLLOUT);

  private static final int MAX_WEIGHT = 1_000;
  private static final int MAX_CONCURRENT_REQUESTS = 100_000;
  private static final int MAX_TIMEOUT_MILLIS = 3_600_000;
  private static final int MAX_BODY_BYTES = 64 << 20;
  private static final int MAX_UNAVAILABLE = 1_000;

  private final String key;
  private final ConfigKind kind;

  ConfigSection(String key, ConfigKind kind) {
    this.key = key;
    this.kind = kind;
  }

  /** Returns the section that holds objects of a kind. */
  static ConfigSection of(ConfigKind kind) {
    for (ConfigSection each : values()) {
      if (each.kind == kind) {
        return each;
      }
    }
    throw new IllegalStateException("no section for " + kind);
  }

  String key() {
    return key;
  }

  /** Reads one item of the section. */
  ConfigObject read(MappingReader reader) {
    return switch (this) {
      case ORGANISATIONS -> organisation(reader);
      case SERVICES -> service(reader);
      case ROUTES -> route(reader);
      case DATA_CENTRES -> dataCentre(reader);
      case UPSTREAMS -> upstream(reader);
      case ROLLOUTS -> rollout(reader);
    };
  }

  private static Organisation organisation(MappingReader reader) {
    return new Organisation(
        reader.name("name"),
        reader.number("weight", Defaults.WEIGHT, 1, MAX_WEIGHT),
        reader.number(
            "max_concurrent_requests",
            Defaults.MAX_CONCURRENT_REQUESTS,
            1,
            MAX_CONCURRENT_REQUESTS),
        reader.text("key_sha256", null));
  }

  private static Service service(MappingReader reader) {
    return new Service(
        reader.name("name"),
        reader.choice("service_kind", ServiceKind.class),
        reader.flag("interactive", false));
  }

  private static Route route(MappingReader reader) {
    return new Route(
        reader.name("name"),
        reader.name("service"),
        reader.texts("idempotent_methods"),
        reader.number("timeout_millis", Defaults.TIMEOUT_MILLIS, 1, MAX_TIMEOUT_MILLIS),
        reader.number("max_body_bytes", Defaults.MAX_BODY_BYTES, 1, MAX_BODY_BYTES));
  }

  private static DataCentre dataCentre(MappingReader reader) {
    return new DataCentre(reader.name("name"), reader.flag("drained", false));
  }

  private static Upstream upstream(MappingReader reader) {
    return new Upstream(reader.name("name"), reader.flag("retired", false));
  }

  private static Rollout rollout(MappingReader reader) {
    return new Rollout(
        reader.name("name"),
        reader.name("service"),
        reader.name("model"),
        reader.text("version"),
        reader.number("max_unavailable", Defaults.MAX_UNAVAILABLE, 1, MAX_UNAVAILABLE),
        reader.flag("paused", false));
  }
}
