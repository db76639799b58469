/**
 * The data path for services behind routes: takes callers' HTTP requests, chooses an upstream from
 * what all gateways have running, and passes answers and streams on unchanged.
 */
package org.cuminrack.gateway;
