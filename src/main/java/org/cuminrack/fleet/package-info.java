/**
 * The state that control VMs and gateways share about upstreams and gateways: announcements, of
 * which the newest wins, and the live gateways.
 */
package org.cuminrack.fleet;
