/**
 * Claims of calls that may not be repeated: each runs at most once, and a resend gets the first
 * answer.
 */
package org.cuminrack.ledger;
