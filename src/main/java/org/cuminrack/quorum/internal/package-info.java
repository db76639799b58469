/** The log's protocol as a pure state machine: events and the time in, effects out. */
package org.cuminrack.quorum.internal;
