/**
 * The decision on roll-outs of a service's versions: evidence of what each version answers, the
 * share of the new one, its end. Pure: no I/O, no clock, no threads.
 */
package org.cuminrack.rollout;
