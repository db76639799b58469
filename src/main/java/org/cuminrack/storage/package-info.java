/** Durable storage of a replica: identity, vote, log segments and snapshots in one data folder. */
package org.cuminrack.storage;
