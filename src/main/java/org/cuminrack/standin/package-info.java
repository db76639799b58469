/**
 * Emulators of upstreams for tests, the demo and experiments: model engines, and a plain HTTP
 * service called the shop.
 */
package org.cuminrack.standin;
