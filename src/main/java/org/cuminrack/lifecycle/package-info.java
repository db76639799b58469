/** Services that own threads, ports or files from start to stop. */
package org.cuminrack.lifecycle;
