/** How fast upstreams work, learned from what they show, and how that counts when one is chosen. */
package org.cuminrack.pace;
