/**
 * Admission control: decides which upstream runs a request, and when.
 *
 * <p>{@link org.cuminrack.pool.PoolCore} makes the decisions for one pool, without I/O. {@link
 * org.cuminrack.pool.PoolOwner} holds the pools that this entry owns; {@link
 * org.cuminrack.pool.AdmissionService} requests tickets for the other pools from their owners. No
 * lock is acquired while a pool's lock is held.
 */
package org.cuminrack.pool;
