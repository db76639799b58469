/**
 * The data path for services behind routes: accepts callers' HTTP requests, chooses an upstream by
 * the load of all gateways, and forwards responses and streams unchanged.
 */
package org.cuminrack.gateway;
