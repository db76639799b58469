/**
 * Adapter to the users' platform: translates the messages of its callers, upstreams and operators
 * to the project's types and back. The platform calls upstreams instances, data centres zones and
 * organisations tenants. Contains no decision logic.
 */
package org.cuminrack.platform;
