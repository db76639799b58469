package org.cuminrack.process;

import java.nio.file.Path;

/** A process that can apply some changes of its settings without a restart. */
public interface Reloadable {

  /** Rereads the settings file. Errors in it are logged, and the current settings stay in use. */
  void reload(Path settings);
}
