/** HTTP over Undertow, server and client; JSON and problem documents. */
package org.cuminrack.http;
