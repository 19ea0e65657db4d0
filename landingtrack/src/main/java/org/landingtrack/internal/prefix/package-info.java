/** Computes content hashes of prompt prefixes. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.prefix;
