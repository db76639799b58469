/**
 * Durable storage of a replica in one data folder: its identity, current term and vote, log
 * segments and snapshots.
 */
package org.cuminrack.storage;
