/**
 * Directory of the backend servers that hold the blocks of prompt prefixes. Its entries are hints
 * and can be rebuilt from the servers.
 */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.directory;
