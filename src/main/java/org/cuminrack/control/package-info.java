/**
 * The replicated state of a control group: configuration, sessions, suspects, claims and routing,
 * with the leases that the leader grants and the requests of entries and operators.
 */
package org.cuminrack.control;
