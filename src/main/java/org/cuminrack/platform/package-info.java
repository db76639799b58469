/**
 * Speaks the users' platform: decodes its names once into the project's types, and writes answers
 * in its form. Decides nothing.
 */
package org.cuminrack.platform;
