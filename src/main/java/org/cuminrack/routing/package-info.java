/** Which requests go to which services, under which limits: one table under a version. */
package org.cuminrack.routing;
