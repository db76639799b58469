package org.cuminrack.config;

/**
 * An object and the revision at which it was last changed.
 *
 * @param revision the log index of its last change; 0 stands for an object that does not exist
 */
public record VersionedObject(ConfigObject object, long revision) {}
