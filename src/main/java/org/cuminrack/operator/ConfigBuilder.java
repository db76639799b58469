package org.cuminrack.operator;

import org.cuminrack.config.ConfigObject;

/** Describes one configuration object, call by call. */
public interface ConfigBuilder {

  /** Returns the object as described so far. */
  ConfigObject build();
}
