/**
 * Admission: which upstream runs a request, and when.
 *
 * <p>{@link org.cuminrack.pool.PoolCore} decides for one pool, without I/O. {@link
 * org.cuminrack.pool.PoolOwner} holds the pools that this entry owns, and {@link
 * org.cuminrack.pool.AdmissionService} asks their owners for the others. No lock is taken while a
 * pool's lock is held.
 */
package org.cuminrack.pool;
