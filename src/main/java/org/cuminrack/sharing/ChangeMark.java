package org.cuminrack.sharing;

/** The version at which a value changed last, as each gateway sees it: but for its own changes. */
final class ChangeMark {
  private String lastVm = "";
  private long lastVersion;

  /** The version of the last change by a gateway other than the last one. */
  private long otherVersion;

  /** Records a change that a gateway caused. */
  void record(String vm, long version) {
    if (!vm.equals(lastVm)) {
      otherVersion = lastVersion;
      lastVm = vm;
    }
    lastVersion = version;
  }

  /** Returns whether a gateway other than this one has changed the value after a version. */
  boolean isChangedFor(String vm, long knownVersion) {
    return (vm.equals(lastVm) ? otherVersion : lastVersion) > knownVersion;
  }
}
