/**
 * The replicated state of a control group: configuration, sessions, suspects and claims, with the
 * leases that its leader grants and what entries and operators ask of it.
 */
package org.cuminrack.control;
