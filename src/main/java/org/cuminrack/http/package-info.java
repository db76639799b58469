/** An HTTP server and client based on Undertow; JSON and problem documents. */
package org.cuminrack.http;
