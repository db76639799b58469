/** A demonstration of a small cluster in one process. */
package org.cuminrack.demo;
