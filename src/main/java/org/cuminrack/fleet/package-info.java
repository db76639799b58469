/**
 * What control VMs and gateways know of upstreams and of each other: announcements, merged by the
 * newest, and the gateways that callers may use.
 */
package org.cuminrack.fleet;
