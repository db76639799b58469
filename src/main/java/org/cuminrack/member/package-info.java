/**
 * An entry's session with control: its lease, its view of the cluster and its calls to the leader.
 */
package org.cuminrack.member;
