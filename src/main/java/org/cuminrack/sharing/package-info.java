/**
 * What gateways tell each other: each pool of upstreams has a board, kept by one gateway, which
 * adds up what the others report and decides nothing.
 */
package org.cuminrack.sharing;
