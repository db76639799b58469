package org.cuminrack.process;

import java.nio.file.Path;

/** A process that takes some changes of its settings while it runs. */
public interface Reloadable {

  /** Reads the settings anew; what is wrong with them is logged, and changes nothing. */
  void reload(Path settings);
}
