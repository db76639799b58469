package org.cuminrack.operator;

import org.cuminrack.config.ConfigObject;

/** Builds one configuration object. */
public interface ConfigBuilder {

  /** Returns an object with the current values. */
  ConfigObject build();
}
