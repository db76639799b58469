/**
 * Adapter to the users' platform: translates its messages to the project's types and back. Contains
 * no decision logic.
 */
package org.cuminrack.platform;
