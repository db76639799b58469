/**
 * Claims on non-idempotent calls: each call runs at most once, and a resend gets the first
 * response.
 */
package org.cuminrack.ledger;
